#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/settings.h"
#include "ticket/json.h"
#include "ticket/store_internal.h"

#define SNAPSHOT_VERSION 1

/* Writing: a header line, one line per pending ticket, record and undo edit,
   then the configuration.  */

static void
write_pending (const struct ti_pending *p, struct zp_buf *out)
{
  zp_buf_printf (out, "{\"submitted\":%" PRId64 ",", p->submitted);
  if (p->reviewed)
    zp_buf_printf (out, "\"reviewer\":\"%.*s\",",
                   ZP_ARG (ti_text_str (&p->reviewer)));
  zp_buf_put (out, ZP_STR ("\"ticket\":"));
  ti_ticket_write (p->ticket, out);
  zp_buf_put (out, ZP_STR ("}\n"));
}

static void
write_record (const struct ti_record *r, struct zp_buf *out)
{
  zp_buf_printf (out,
                 "{\"digest\":\"%.*s\",\"state\":\"%s\",\"number\":%" PRIu64
                 ",\"at\":%" PRId64,
                 ZP_ARG (ti_digest_str (&r->digest)), ti_state_name (r->state),
                 r->number, r->at);
  if (r->errors.count > 0)
    {
      zp_buf_printf (out, ",\"mistakes\":%zu,\"errors\":", r->errors.count);
      ti_json_put_string (out, zp_str_of (&r->errors.lines));
    }
  if (r->conflict.number > 0)
    {
      zp_buf_printf (out,
                     ",\"by\":%" PRIu64 ",\"objects\":", r->conflict.number);
      ti_keys_write (&r->conflict.objects, out);
      if (r->conflict.digest.hex[0])
        zp_buf_printf (out, ",\"winner\":\"%.*s\"",
                       ZP_ARG (ti_digest_str (&r->conflict.digest)));
    }
  zp_buf_put (out, ZP_STR ("}\n"));
}

void
ti_store_snapshot (const struct ti_store *s, struct zp_buf *out)
{
  zp_buf_printf (out,
                 "{\"version\":%d,\"now\":%" PRId64 ",\"pending\":%zu,"
                 "\"records\":%zu,\"past\":%zu",
                 SNAPSHOT_VERSION, s->now, s->pending_len, s->record_len,
                 s->undo_len);
  ti_leaves_write (&s->leaves, out);
  zp_buf_put (out, ZP_STR ("}\n"));
  for (size_t i = 0; i < s->pending_len; i++)
    write_pending (&s->pending[i], out);
  for (size_t i = 0; i < s->record_len; i++)
    write_record (&s->record[i], out);
  for (size_t i = 0; i < s->undo_len; i++)
    {
      zp_buf_printf (out, "{\"number\":%" PRIu64 ",", s->undo[i].number);
      ti_edit_write (&s->undo[i].edit, out);
      zp_buf_put (out, ZP_STR ("}\n"));
    }
  ti_config_encode (s->config, out);
}

/* Reading.  */

static bool
get_u64 (struct json_object *root, const char *key, uint64_t *out)
{
  return ti_json_u64 (ti_json_get (root, key), out);
}

/* Reports that WHAT is damaged.  */
static bool
corrupt (struct zp_err *err, const char *what)
{
  return zp_fail (err, ZP_ECORRUPT, "snapshot: bad %s", what);
}

static bool
read_pending (struct ti_store *s, struct json_object *line, struct zp_err *err)
{
  struct zp_report report = { .count = 0 };
  struct zp_buf text = { .ptr = NULL };
  struct ti_pending p = { .bytes = 0 };
  struct json_object *reviewer = ti_json_get (line, "reviewer");
  uint64_t submitted;

  if (!get_u64 (line, "submitted", &submitted)
      || s->pending_len == TI_PENDING_MAX)
    return corrupt (err, "pending ticket");
  p.submitted = (zp_time) submitted;
  p.reviewed = reviewer != NULL;
  if (p.reviewed && !ti_name_parse (ti_json_str (reviewer), &p.reviewer))
    return corrupt (err, "reviewer");
  p.ticket = ti_ticket_read (ti_json_get (line, "ticket"), &report);
  zp_report_free (&report);
  if (!p.ticket)
    return corrupt (err, "ticket");
  ti_ticket_digest (p.ticket, &p.digest);
  ti_ticket_write (p.ticket, &text);
  p.bytes = text.len;
  zp_buf_free (&text);
  ti_store_add_pending (s, &p);
  return true;
}

static bool
read_state (struct json_object *line, enum ti_state *out)
{
  struct zp_str name = ti_json_str (ti_json_get (line, "state"));

  for (enum ti_state t = TI_STATE_NUMBERED; t <= TI_STATE_CONFLICT; t++)
    if (zp_str_eq (name, zp_str_from (ti_state_name (t))))
      {
        *out = t;
        return true;
      }
  return false;
}

static bool
read_conflict (struct json_object *line, struct ti_conflict *out)
{
  struct json_object *objects = ti_json_get (line, "objects");
  struct json_object *winner = ti_json_get (line, "winner");
  struct ti_key key;

  if (!ti_json_get (line, "by"))
    return true;
  if (!get_u64 (line, "by", &out->number)
      || !json_object_is_type (objects, json_type_array))
    return false;
  for (size_t i = 0; i < json_object_array_length (objects); i++)
    {
      struct json_object *o = json_object_array_get_idx (objects, i);
      if (!ti_key_parse (ti_json_str (o), &key, NULL))
        return false;
      ti_keys_add (&out->objects, &key);
    }
  return !winner || ti_digest_parse (ti_json_str (winner), &out->digest);
}

static bool
read_record (struct ti_store *s, struct json_object *line, struct zp_err *err)
{
  struct ti_record r = { .number = 0 };
  uint64_t at, mistakes = 0;

  if (!ti_digest_parse (ti_json_str (ti_json_get (line, "digest")), &r.digest)
      || !read_state (line, &r.state) || !get_u64 (line, "number", &r.number)
      || !get_u64 (line, "at", &at))
    return corrupt (err, "record");
  r.at = (zp_time) at;
  if (get_u64 (line, "mistakes", &mistakes))
    zp_buf_put (&r.errors.lines, ti_json_str (ti_json_get (line, "errors")));
  r.errors.count = mistakes;
  bool ok = read_conflict (line, &r.conflict);
  ti_store_add_record (s, &r);
  return ok || corrupt (err, "conflict");
}

static bool
read_undo (struct ti_store *s, struct json_object *line, struct zp_err *err)
{
  struct zp_report report = { .count = 0 };
  struct zp_buf text = { .ptr = NULL };
  struct ti_undo u = { .number = 0 };

  if (!get_u64 (line, "number", &u.number))
    return corrupt (err, "undo edit");
  bool ok = ti_edit_read (line, &u.edit, &report);
  zp_report_free (&report);
  ti_edit_write (&u.edit, &text);
  u.bytes = text.len;
  zp_buf_free (&text);
  ti_store_add_undo (s, &u);
  return ok || corrupt (err, "undo edit");
}

typedef bool read_item (struct ti_store *s, struct json_object *line,
                        struct zp_err *err);

static bool
read_items (struct ti_store *s, struct zp_str *bytes, uint64_t n,
            read_item *read, struct zp_err *err)
{
  for (uint64_t i = 0; i < n; i++)
    {
      struct zp_str line, rest;
      zp_str_split (*bytes, '\n', &line, &rest);
      *bytes = rest;
      struct json_object *v = zp_json_parse (line, err);
      bool ok = v && read (s, v, err);
      json_object_put (v);
      if (!ok)
        return false;
    }
  return true;
}

static bool
read_all (struct ti_store *s, struct zp_str bytes, struct zp_err *err)
{
  uint64_t version, now, pending, records, undo;
  struct zp_str line;

  zp_str_split (bytes, '\n', &line, &bytes);
  struct json_object *header = zp_json_parse (line, err);
  bool ok = header && get_u64 (header, "version", &version)
            && get_u64 (header, "now", &now)
            && get_u64 (header, "pending", &pending)
            && get_u64 (header, "records", &records)
            && get_u64 (header, "past", &undo)
            && ti_leaves_read (&s->leaves, header);
  json_object_put (header);
  if (!ok)
    return corrupt (err, "header");
  if (version != SNAPSHOT_VERSION)
    return zp_fail (err, ZP_ECORRUPT,
                    "snapshot: found version %" PRIu64 ", allowed: %d",
                    version, SNAPSHOT_VERSION);
  s->now = (zp_time) now;
  if (!read_items (s, &bytes, pending, read_pending, err)
      || !read_items (s, &bytes, records, read_record, err)
      || !read_items (s, &bytes, undo, read_undo, err))
    return false;
  struct ti_config *c = ti_config_decode (bytes, err);
  if (!c)
    return false;
  ti_config_free (s->config);
  s->config = c;
  if (s->undo_len > c->number)
    return corrupt (err, "undo edits");
  for (size_t i = 0; i < s->undo_len; i++)
    if (s->undo[i].number != c->number - s->undo_len + i + 1)
      return corrupt (err, "order of undo edits");
  return true;
}

struct ti_store *
ti_store_restore (struct zp_str bytes, enum ti_conflict_rule rule,
                  struct zp_err *err)
{
  struct ti_store *s = ti_store_new (rule);

  if (read_all (s, bytes, err))
    return s;
  ti_store_free (s);
  return NULL;
}
