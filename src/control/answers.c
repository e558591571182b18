#include "control/answers.h"

#include <inttypes.h>
#include <string.h>

#include "ticket/json.h"

/* Starts a JSON answer and returns the buffer of its body.  */
static struct zp_buf *
begin (struct tk_http_answer *a, unsigned status)
{
  a->status = status;
  zp_buf_clear (&a->content_type);
  zp_buf_put (&a->content_type, ZP_STR ("application/json"));
  zp_buf_clear (&a->body);
  return &a->body;
}

static void
put_digest (struct zp_buf *out, const struct ti_digest *d)
{
  if (d->hex[0])
    zp_buf_printf (out, "\"%.*s\"", ZP_ARG (ti_digest_str (d)));
  else
    zp_buf_put (out, ZP_STR ("null"));
}

/* Writes 0 as null.  */
static void
put_number (struct zp_buf *out, uint64_t n)
{
  if (n > 0)
    zp_buf_printf (out, "%" PRIu64, n);
  else
    zp_buf_put (out, ZP_STR ("null"));
}

/* The lines of R as a JSON array of strings.  */
static void
put_errors (struct zp_buf *out, const struct zp_report *r)
{
  struct zp_str line, rest = zp_str_of (&r->lines);
  bool first = true;

  zp_buf_put (out, ZP_STR ("["));
  while (rest.len > 0)
    {
      zp_str_split (rest, '\n', &line, &rest);
      if (!first)
        zp_buf_put (out, ZP_STR (","));
      ti_json_put_string (out, line);
      first = false;
    }
  zp_buf_put (out, ZP_STR ("]"));
}

/* Errors.  */

void
ct_answer_errors (struct tk_http_answer *a, unsigned status,
                  const struct zp_report *errors)
{
  struct zp_buf *out = begin (a, status);

  zp_buf_put (out, ZP_STR ("{\"digest\":null,\"state\":\"refused\","
                           "\"number\":null,\"errors\":"));
  put_errors (out, errors);
  zp_buf_put (out, ZP_STR (",\"conflict\":null}\n"));
}

void
ct_answer_error (struct tk_http_answer *a, unsigned status, const char *fmt,
                 ...)
{
  struct zp_report r = { .count = 1 };
  va_list ap;

  va_start (ap, fmt);
  zp_buf_vprintf (&r.lines, fmt, ap);
  va_end (ap);
  ct_answer_errors (a, status, &r);
  zp_report_free (&r);
}

void
ct_answer_redirect (struct tk_http_answer *a, struct zp_str address,
                    struct zp_str path, struct zp_str query)
{
  ct_answer_error (a, 307, "the leader is at %.*s", ZP_ARG (address));
  zp_buf_printf (&a->location, "http://%.*s%.*s%s%.*s", ZP_ARG (address),
                 ZP_ARG (path), query.len > 0 ? "?" : "", ZP_ARG (query));
}

/* Tickets.  */

static unsigned
status_of (enum ti_outcome outcome)
{
  switch (outcome)
    {
    case TI_DONE:
      return 200;
    case TI_REFUSED:
      return 422;
    case TI_IN_CONFLICT:
      return 409;
    case TI_UNKNOWN:
      return 404;
    case TI_FULL:
      return 503;
    }
  return 500;
}

void
ct_answer_result (struct tk_http_answer *a, const struct ti_result *r)
{
  struct zp_report unknown = { .count = 0 };
  struct zp_buf *out = begin (a, status_of (r->outcome));

  if (r->outcome == TI_UNKNOWN)
    zp_report_add (&unknown, "no ticket with this digest is known; submit it "
                             "first");
  zp_buf_put (out, ZP_STR ("{\"digest\":"));
  put_digest (out, &r->digest);
  zp_buf_printf (out,
                 ",\"state\":\"%s\",\"number\":", ti_state_name (r->state));
  put_number (out, r->number);
  zp_buf_put (out, ZP_STR (",\"errors\":"));
  put_errors (out, unknown.count > 0 ? &unknown : &r->errors);
  zp_buf_put (out, ZP_STR (",\"conflict\":"));
  if (r->outcome == TI_IN_CONFLICT)
    {
      zp_buf_printf (
          out, "{\"number\":%" PRIu64 ",\"digest\":", r->conflict.number);
      put_digest (out, &r->conflict.digest);
      zp_buf_put (out, ZP_STR (",\"objects\":"));
      ti_keys_write (&r->conflict.objects, out);
      zp_buf_put (out, ZP_STR ("}"));
    }
  else
    zp_buf_put (out, ZP_STR ("null"));
  zp_buf_put (out, ZP_STR ("}\n"));
  zp_report_free (&unknown);
  if (r->outcome == TI_FULL)
    a->retry_after_s = 60;
}

/* Status.  */

/* The pending tickets, as a JSON array.  */
static void
put_pending (struct zp_buf *out, const struct ti_store *s)
{
  struct ti_pending_ticket p;

  zp_buf_put (out, ZP_STR ("["));
  for (size_t i = 0; ti_store_pending (s, i, &p); i++)
    {
      zp_buf_put (out,
                  i > 0 ? ZP_STR (",{\"digest\":") : ZP_STR ("{\"digest\":"));
      put_digest (out, &p.digest);
      zp_buf_put (out, ZP_STR (",\"title\":"));
      ti_json_put_string (out, zp_str_of (&p.ticket->title));
      zp_buf_printf (out, ",\"author\":\"%.*s\",\"against\":%" PRIu64,
                     ZP_ARG (ti_text_str (&p.ticket->author)),
                     p.ticket->against);
      if (p.reviewer)
        zp_buf_printf (out, ",\"state\":\"reviewed\",\"reviewer\":\"%.*s\"}",
                       ZP_ARG (ti_text_str (p.reviewer)));
      else
        zp_buf_put (out, ZP_STR (",\"state\":\"submitted\",\"reviewer\":"
                                 "null}"));
    }
  zp_buf_put (out, ZP_STR ("]"));
}

static void
put_shifts (struct zp_buf *out, const struct ti_config *c,
            const struct ct_shifts *shifts)
{
  const struct ti_slot *slot;
  size_t at = 0;
  bool first = true;

  zp_buf_put (out, ZP_STR ("["));
  while ((slot = ti_config_next (c, TI_SHIFT, &at)))
    {
      const struct ti_shift *o = &slot->object->u.shift;
      zp_buf_printf (out,
                     "%s{\"name\":\"%.*s\",\"from\":\"%.*s\","
                     "\"to\":\"%.*s\",\"moved\":",
                     first ? "" : ",", ZP_ARG (ti_text_str (&slot->key.name)),
                     ZP_ARG (ti_text_str (&o->from)),
                     ZP_ARG (ti_text_str (&o->to)));
      ti_json_put_decimal (out, slot->moved, 6);
      zp_buf_put (out, ZP_STR (",\"target\":"));
      ti_json_put_decimal (out, o->share, 6);
      zp_buf_put (out, ZP_STR (",\"reason\":"));
      ti_json_put_string (
          out, zp_str_from (shifts ? ct_shifts_reason (shifts, &slot->key.name)
                                   : ""));
      zp_buf_put (out, ZP_STR ("}"));
      first = false;
    }
  zp_buf_put (out, ZP_STR ("]"));
}

void
ct_answer_status (struct tk_http_answer *a, const struct ti_store *s,
                  const struct ct_status_report *report)
{
  struct zp_buf *out = begin (a, 200);
  const struct ti_config *c = ti_store_config (s);

  zp_buf_printf (out, "{\"id\":%" PRIu64 ",\"role\":\"%s\",\"stopped\":",
                 report->id, report->role);
  if (report->stopped)
    ti_json_put_string (out, zp_str_from (report->stopped));
  else
    zp_buf_put (out, ZP_STR ("null"));
  zp_buf_put (out, ZP_STR (",\"leader\":"));
  put_number (out, report->leader);
  zp_buf_printf (
      out,
      ",\"term\":%" PRIu64 ",\"commit\":%" PRIu64 ",\"applied\":%" PRIu64
      ",\"number\":%" PRIu64 ",\"version\":%" PRIu64 ",\"members\":[",
      report->term, report->commit, report->applied, c->number, c->index);
  for (size_t i = 0; i < report->members; i++)
    zp_buf_printf (out,
                   "%s{\"id\":%" PRIu64 ",\"role\":\"%s\",\"address\":"
                   "\"%.*s\"}",
                   i > 0 ? "," : "", report->member[i].id,
                   report->member[i].voter ? "voter" : "learner",
                   ZP_ARG (report->member[i].address));
  zp_buf_printf (out,
                 "],\"followers\":{\"reporting\":%zu,\"current\":%zu},"
                 "\"waiting\":",
                 report->followers, report->current);
  put_pending (out, s);
  zp_buf_put (out, ZP_STR (",\"shifts\":"));
  put_shifts (out, c, report->shifts);
  zp_buf_put (out, ZP_STR ("}\n"));
}

/* Configurations.  */

/* Ends the objects of a page.  LAST: the last key of a full page; NULL on the
   last page.  */
static void
put_next (struct zp_buf *out, const struct ti_key *last)
{
  zp_buf_put (out, ZP_STR ("},\"next\":"));
  if (last)
    zp_buf_printf (out, "\"%s/%.*s\"", TI_KEY_ARG (last));
  else
    zp_buf_put (out, ZP_STR ("null"));
  zp_buf_put (out, ZP_STR ("}\n"));
}

static void
put_object (struct zp_buf *out, const struct ti_object *o, bool keys)
{
  if (!o)
    zp_buf_put (out, ZP_STR ("null"));
  else if (keys)
    ti_object_write (o, out);
  else
    ti_object_show (o, out);
}

static bool
is_before (const struct ct_page *page, const struct ti_key *key)
{
  return page->after && ti_key_cmp (key, page->after) <= 0;
}

void
ct_answer_config (struct tk_http_answer *a, const struct ti_config *c,
                  const struct ct_page *page)
{
  struct zp_buf *out = begin (a, 200);
  const struct ti_key *last = NULL;
  bool full = false;

  zp_buf_printf (
      out, "{\"number\":%" PRIu64 ",\"version\":%" PRIu64 ",\"objects\":{",
      c->number, c->index);
  for (size_t i = 0; i < c->len && !full; i++)
    {
      const struct ti_slot *s = &c->slot[i];
      if (!s->object || is_before (page, &s->key))
        continue;
      zp_buf_printf (out, "%s\"%s/%.*s\":{\"number\":%" PRIu64,
                     last ? "," : "", TI_KEY_ARG (&s->key), s->number);
      if (s->key.kind == TI_SHIFT)
        {
          zp_buf_put (out, ZP_STR (",\"moved\":"));
          ti_json_put_decimal (out, s->moved, 6);
        }
      zp_buf_put (out, ZP_STR (",\"object\":"));
      put_object (out, s->object, page->keys);
      zp_buf_put (out, ZP_STR ("}"));
      last = &s->key;
      full = out->len > CT_PAGE_BYTES;
    }
  put_next (out, full ? last : NULL);
}

void
ct_answer_diff (struct tk_http_answer *a, const struct ti_config *from,
                const struct ti_config *to, const struct ct_page *page)
{
  struct zp_buf *out = begin (a, 200);
  const struct ti_key *last = NULL;
  struct ti_diff d;
  bool full = false;

  ti_config_diff (from, to, &d);
  zp_buf_printf (out, "{\"from\":%" PRIu64 ",\"to\":%" PRIu64 ",\"objects\":{",
                 from->number, to->number);
  for (size_t i = 0; i < d.len && !full; i++)
    {
      const struct ti_difference *x = &d.item[i];
      if (is_before (page, x->key))
        continue;
      zp_buf_printf (out, "%s\"%s/%.*s\":{\"before\":", last ? "," : "",
                     TI_KEY_ARG (x->key));
      put_object (out, x->before, page->keys);
      zp_buf_put (out, ZP_STR (",\"after\":"));
      put_object (out, x->after, page->keys);
      zp_buf_put (out, ZP_STR ("}"));
      last = x->key;
      /* An item has two objects, together up to 200,000 bytes: with a quarter
         of the limit the page stays below ZP_BODY_MAX.  */
      full = out->len > CT_PAGE_BYTES / 4;
    }
  put_next (out, full ? last : NULL);
  ti_diff_free (&d);
}
