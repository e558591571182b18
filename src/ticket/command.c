#include "ticket/command.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/settings.h"
#include "ticket/json.h"

static const char *const kind_names[] = {
  [TI_SUBMIT] = "submit", [TI_REVIEW] = "review", [TI_NUMBER] = "number",
  [TI_STEP] = "step",     [TI_PUT] = "put",       [TI_EVACUATE] = "evacuate",
  [TI_LEAVE] = "leave",
};

/* The document of a TI_PUT as an object, which shares the body with C.  */
static struct ti_object
document_object (const struct ti_command *c)
{
  struct ti_object o = { .key = { .kind = TI_DOCUMENT } };

  o.u.document = (struct ti_document){ .number = c->u.put.number,
                                       .body = c->u.put.body };
  return o;
}

static void
write_document (const struct ti_command *c, struct zp_buf *out)
{
  struct ti_object o = document_object (c);

  ti_object_write (&o, out);
}

void
ti_command_encode (const struct ti_command *c, struct zp_buf *out)
{
  zp_buf_printf (out, "{\"command\":\"%s\",\"now\":%" PRId64,
                 kind_names[c->kind], c->now);
  switch (c->kind)
    {
    case TI_SUBMIT:
      zp_buf_put (out, ZP_STR (",\"ticket\":"));
      ti_ticket_write (c->u.submit.ticket, out);
      break;
    case TI_REVIEW:
      zp_buf_printf (out, ",\"digest\":\"%.*s\",\"reviewer\":\"%.*s\"",
                     ZP_ARG (ti_digest_str (&c->u.review.digest)),
                     ZP_ARG (ti_text_str (&c->u.review.reviewer)));
      break;
    case TI_NUMBER:
      zp_buf_printf (out, ",\"digest\":\"%.*s\",\"number\":%" PRIu64,
                     ZP_ARG (ti_digest_str (&c->u.number.digest)),
                     c->u.number.number);
      break;
    case TI_STEP:
      zp_buf_printf (out, ",\"shift\":\"%.*s\",\"before\":%u,\"after\":%u",
                     ZP_ARG (ti_text_str (&c->u.step.shift)), c->u.step.before,
                     c->u.step.after);
      break;
    case TI_PUT:
      zp_buf_printf (out, ",\"document\":");
      write_document (c, out);
      break;
    case TI_EVACUATE:
      zp_buf_printf (out, ",\"failure_domain\":\"%.*s\",\"on\":%s",
                     ZP_ARG (ti_text_str (&c->u.evacuate.failure_domain)),
                     c->u.evacuate.on ? "true" : "false");
      break;
    case TI_LEAVE:
      zp_buf_put (out, ZP_STR (","));
      ti_leave_write (&c->u.leave.leave, out);
      break;
    }
  zp_buf_put (out, ZP_STR ("}"));
}

static bool
get_share (struct json_object *root, const char *key, uint32_t *out)
{
  uint64_t n;

  if (!ti_json_u64 (ti_json_get (root, key), &n) || n > TI_SHARE_ONE)
    return false;
  *out = (uint32_t) n;
  return true;
}

static bool
decode_submit (struct json_object *root, struct ti_submit_command *out,
               struct zp_err *err)
{
  struct zp_report report = { .count = 0 };

  out->ticket = ti_ticket_read (ti_json_get (root, "ticket"), &report);
  if (!out->ticket)
    zp_fail (err, ZP_ECORRUPT, "%.*s", ZP_ARG (zp_str_of (&report.lines)));
  zp_report_free (&report);
  return out->ticket != NULL;
}

static bool
decode_put (struct json_object *root, struct ti_put_command *out,
            struct zp_err *err)
{
  const struct ti_key key = { .kind = TI_DOCUMENT };
  struct zp_report report = { .count = 0 };
  struct ti_object *o
      = ti_object_read (&key, ti_json_get (root, "document"), &report);

  if (o)
    {
      out->number = o->u.document.number;
      out->body = o->u.document.body;
      o->u.document.body = (struct ti_blob){ .ptr = NULL };
    }
  else
    zp_fail (err, ZP_ECORRUPT, "%.*s", ZP_ARG (zp_str_of (&report.lines)));
  bool ok = o != NULL;
  ti_object_free (o);
  zp_report_free (&report);
  return ok;
}

static bool
decode_kind (struct json_object *root, struct ti_command *out,
             struct zp_err *err)
{
  bool ok = false;

  switch (out->kind)
    {
    case TI_SUBMIT:
      return decode_submit (root, &out->u.submit, err);
    case TI_REVIEW:
      ok = ti_digest_parse (ti_json_str (ti_json_get (root, "digest")),
                            &out->u.review.digest)
           && ti_name_parse (ti_json_str (ti_json_get (root, "reviewer")),
                             &out->u.review.reviewer);
      break;
    case TI_NUMBER:
      ok = ti_digest_parse (ti_json_str (ti_json_get (root, "digest")),
                            &out->u.number.digest)
           && ti_json_u64 (ti_json_get (root, "number"),
                           &out->u.number.number);
      break;
    case TI_STEP:
      ok = ti_name_parse (ti_json_str (ti_json_get (root, "shift")),
                          &out->u.step.shift)
           && get_share (root, "before", &out->u.step.before)
           && get_share (root, "after", &out->u.step.after);
      break;
    case TI_PUT:
      return decode_put (root, &out->u.put, err);
    case TI_EVACUATE:
      out->u.evacuate.on = json_object_get_boolean (ti_json_get (root, "on"));
      ok = ti_name_parse (ti_json_str (ti_json_get (root, "failure_domain")),
                          &out->u.evacuate.failure_domain);
      break;
    case TI_LEAVE:
      ok = ti_leave_read (&out->u.leave.leave, root);
      break;
    }
  return ok
         || zp_fail (err, ZP_ECORRUPT, "command \"%s\": missing or bad field",
                     kind_names[out->kind]);
}

bool
ti_command_decode (struct zp_str bytes, struct ti_command *out,
                   struct zp_err *err)
{
  struct json_object *root = zp_json_parse (bytes, err);
  bool ok = false;
  uint64_t now;

  *out = (struct ti_command){ .kind = TI_SUBMIT };
  if (!root)
    return false;
  struct zp_str name = ti_json_str (ti_json_get (root, "command"));
  for (enum ti_command_kind k = TI_SUBMIT; k <= TI_LEAVE; k++)
    if (zp_str_eq (name, zp_str_from (kind_names[k])))
      {
        out->kind = k;
        ok = true;
      }
  if (!ok || !ti_json_u64 (ti_json_get (root, "now"), &now))
    {
      ok = zp_fail (err, ZP_ECORRUPT,
                    "not a command: bad \"command\" or \"now\"");
    }
  else
    {
      out->now = (zp_time) now;
      ok = decode_kind (root, out, err);
    }
  json_object_put (root);
  return ok;
}

void
ti_command_clear (struct ti_command *c)
{
  switch (c->kind)
    {
    case TI_SUBMIT:
      ti_ticket_free (c->u.submit.ticket);
      c->u.submit.ticket = NULL;
      break;
    case TI_REVIEW:
    case TI_NUMBER:
    case TI_STEP:
    case TI_EVACUATE:
    case TI_LEAVE:
      break;
    case TI_PUT:
      free (c->u.put.body.ptr);
      c->u.put.body = (struct ti_blob){ .ptr = NULL };
      break;
    }
}
