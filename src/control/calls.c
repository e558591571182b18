#include "control/calls.h"

#include <stdlib.h>

#include "ticket/blob.h"

/* Fills OUT with a reply of KIND and returns it, for its details.  */
static struct ct_reply *
set_reply (struct ct_action *out, enum ct_reply_kind kind)
{
  out->kind = CT_ACTION_REPLY;
  out->u.reply = (struct ct_reply){ .kind = kind };
  return &out->u.reply;
}

struct ct_reply
ct_calls_not_leader (const struct ct_leadership *leadership)
{
  struct ct_reply r = { .kind = CT_REPLY_UNAVAILABLE };

  switch (leadership->kind)
    {
    case CT_FOLLOWER:
      r.kind = CT_REPLY_REDIRECT;
      r.u.leader = leadership->leader_http;
      break;
    case CT_LEADER:
    case CT_NO_LEADER:
      break;
    }
  return r;
}

const struct ti_document *
ct_calls_document (const struct ti_store *s)
{
  struct ti_key key = { .kind = TI_DOCUMENT };

  ti_text_set (&key.name, ZP_STR (TI_ROUTES));
  const struct ti_object *o = ti_config_find (ti_store_config (s), &key);
  return o ? &o->u.document : NULL;
}

static void
propose (const struct ti_command *c, struct ct_action *out)
{
  out->kind = CT_ACTION_PROPOSE;
  out->u.command = (struct zp_buf){ .ptr = NULL };
  ti_command_encode (c, &out->u.command);
}

static void
decide_put (const struct ct_put *p, const struct ct_calls_view *v,
            struct ct_action *out)
{
  const struct ti_document *current = ct_calls_document (v->store);
  struct ti_command c = { .kind = TI_PUT, .now = v->wall_now };

  if (p->body.len > CT_DOCUMENT_MAX)
    {
      set_reply (out, CT_REPLY_BAD)->u.bad = "the document is too long";
      return;
    }
  if (current && p->number <= current->number)
    {
      set_reply (out, CT_REPLY_DONE);
      return;
    }
  c.u.put.number = p->number;
  ti_blob_compress (p->body, &c.u.put.body);
  propose (&c, out);
  ti_command_clear (&c);
}

static void
decide_read (const struct ct_calls_view *v, struct ct_action *out)
{
  const struct ti_document *current = ct_calls_document (v->store);

  /* Without a document the reply is temporary: the caller can try again.  */
  if (!current
      || !ti_blob_decompress (&current->body, &out->document, CT_DOCUMENT_MAX))
    set_reply (out, CT_REPLY_UNAVAILABLE);
  else
    set_reply (out, CT_REPLY_DOCUMENT)->u.document
        = zp_str_of (&out->document);
}

static void
decide_evacuate (const struct ct_evacuate *e, const struct ct_calls_view *v,
                 struct ct_action *out)
{
  const struct ti_key key = { .kind = TI_DRAIN, .name = e->failure_domain };
  bool draining = ti_config_find (ti_store_config (v->store), &key) != NULL;
  struct ti_command c = { .kind = TI_EVACUATE, .now = v->wall_now };

  if (draining == e->on)
    {
      set_reply (out, CT_REPLY_DONE);
      return;
    }
  c.u.evacuate
      = (struct ti_evacuate_command){ .failure_domain = e->failure_domain,
                                      .on = e->on };
  propose (&c, out);
}

static void
decide_lookup (const struct ct_lookup *l, const struct ct_calls_view *v,
               struct ct_action *out)
{
  size_t n = ct_daemons_entries (v->daemons, zp_str_from (l->region),
                                 out->address, CT_LOOKUP_MAX);

  if (n == 0)
    {
      set_reply (out, CT_REPLY_UNAVAILABLE);
      return;
    }
  struct ct_reply *r = set_reply (out, CT_REPLY_ENTRY_VMS);
  r->u.entry_vms.address = out->address;
  r->u.entry_vms.len = n;
  r->u.entry_vms.ttl = v->lookup_ttl;
}

void
ct_calls_decide (const struct ct_call *call, const struct ct_calls_view *v,
                 struct ct_action *out)
{
  bool leads = v->leadership.kind == CT_LEADER;

  *out = (struct ct_action){ .kind = CT_ACTION_REPLY };
  switch (call->kind)
    {
    case CT_CALL_BAD:
      set_reply (out, CT_REPLY_BAD)->u.bad = call->u.bad.text;
      return;
    case CT_CALL_UNKNOWN:
      set_reply (out, CT_REPLY_UNKNOWN);
      return;
    case CT_CALL_METRICS:
      set_reply (out, CT_REPLY_METRICS);
      return;
    case CT_CALL_LOOKUP:
      decide_lookup (&call->u.lookup, v, out);
      return;
    case CT_CALL_SERVER:
      out->kind = CT_ACTION_SERVER;
      out->u.server = call->u.server;
      return;
    case CT_CALL_PUT:
    case CT_CALL_READ:
    case CT_CALL_EVACUATE:
      break;
    }
  if (!leads)
    {
      out->u.reply = ct_calls_not_leader (&v->leadership);
      return;
    }
  switch (call->kind)
    {
    case CT_CALL_PUT:
      decide_put (&call->u.put, v, out);
      return;
    case CT_CALL_READ:
      decide_read (v, out);
      return;
    case CT_CALL_EVACUATE:
      decide_evacuate (&call->u.evacuate, v, out);
      return;
    case CT_CALL_BAD:
    case CT_CALL_UNKNOWN:
    case CT_CALL_METRICS:
    case CT_CALL_LOOKUP:
    case CT_CALL_SERVER:
      return;
    }
}

bool
ct_calls_defers_reply (const struct tk_server *s)
{
  switch (s->state)
    {
    case TK_SERVER_READY:
      return false;
    case TK_SERVER_DRAINING:
    case TK_SERVER_GONE:
      break;
    }
  return true;
}
