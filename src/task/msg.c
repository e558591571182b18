#include "task/msg.h"

#include <stdlib.h>

struct tk_msg *
tk_msg_new (enum tk_msg_kind kind)
{
  struct tk_msg *m = zp_alloc (sizeof *m);

  m->kind = kind;
  return m;
}

struct zp_str
tk_body_end_name (enum tk_body_end end)
{
  switch (end)
    {
    case TK_BODY_UNKNOWN:
      break;
    case TK_BODY_NONE:
      return ZP_STR ("none");
    case TK_BODY_LENGTH:
      return ZP_STR ("length");
    case TK_BODY_CHUNKED:
      return ZP_STR ("chunked");
    case TK_BODY_TO_CLOSE:
      return ZP_STR ("close");
    }
  return ZP_STR ("unknown");
}

void
tk_msg_free (struct tk_msg *m)
{
  switch (m->kind)
    {
    case TK_HTTP_REQUEST:
      zp_buf_free (&m->u.request.host);
      zp_buf_free (&m->u.request.request_id);
      zp_buf_free (&m->u.request.affinity);
      zp_buf_wipe (&m->u.request.credential);
      zp_buf_free (&m->u.request.method);
      zp_buf_free (&m->u.request.path);
      zp_buf_free (&m->u.request.query);
      zp_buf_free (&m->u.request.content_type);
      zp_buf_free (&m->u.request.key);
      zp_buf_free (&m->u.request.headers);
      zp_buf_free (&m->u.request.body);
      break;
    case TK_HTTP_ANSWER:
      zp_buf_free (&m->u.answer.location);
      zp_buf_free (&m->u.answer.content_type);
      zp_buf_free (&m->u.answer.headers);
      zp_buf_free (&m->u.answer.body);
      break;
    case TK_FORWARD:
      zp_buf_free (&m->u.forward.method);
      zp_buf_free (&m->u.forward.target);
      zp_buf_free (&m->u.forward.content_type);
      zp_buf_free (&m->u.forward.headers);
      zp_buf_free (&m->u.forward.body);
      zp_buf_free (&m->u.forward.request_id);
      zp_buf_free (&m->u.forward.workspace);
      zp_buf_free (&m->u.forward.host);
      zp_buf_free (&m->u.forward.health_path);
      break;
    case TK_FORWARD_DONE:
      zp_buf_free (&m->u.done.content_type);
      zp_buf_free (&m->u.done.headers);
      zp_buf_free (&m->u.done.body);
      break;
    case TK_PEER_SEND:
    case TK_PEER_FRAME:
      zp_buf_free (&m->u.frame.payload);
      break;
    case TK_DISK_WRITE:
      zp_buf_free (&m->u.write.bytes);
      break;
    case TK_CONFIG:
      zp_buf_free (&m->u.config.bytes);
      break;
    case TK_STOP:
    case TK_CALLER_LEFT:
    case TK_FORWARD_CANCEL:
    case TK_PEER_UP:
    case TK_PEER_DOWN:
    case TK_DISK_DONE:
    case TK_CONFIG_REQUEST:
    case TK_FOLLOW_REPORT:
    case TK_CONFIG_FRESH:
    case TK_SERVER:
    case TK_SERVER_SETTLED:
    case TK_DAEMON:
    case TK_ENTRY_COUNT:
    case TK_LOSS:
      break;
    case TK_RENEWALS:
      free (m->u.renewals.item);
      break;
    case TK_WORK:
      free (m->u.work.item);
      free (m->u.work.load);
      break;
    case TK_QUOTA_ASK:
      free (m->u.quota_ask.item);
      break;
    case TK_QUOTA_GRANT:
      free (m->u.quota_grant.item);
      break;
    case TK_CONFIG_SOURCES:
    case TK_SEEDS:
      zp_buf_free (&m->u.addresses.lines);
      break;
    }
  free (m);
}

void
tk_put_target (const struct tk_http_request *r, struct zp_buf *out)
{
  zp_buf_put (out, zp_str_of (&r->path));
  if (!r->has_query && r->query.len == 0)
    return;
  zp_buf_put (out, ZP_STR ("?"));
  zp_buf_put (out, zp_str_of (&r->query));
}
