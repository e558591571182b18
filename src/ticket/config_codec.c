#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/settings.h"
#include "ticket/config.h"
#include "ticket/json.h"

#define SLOTS_MAX (16 * TI_OBJECTS_MAX) /* including tombstones */

/* These read a member of one line.  They return false when it is missing or
   out of range.  */

static bool
get_u64 (struct json_object *line, const char *key, uint64_t *out)
{
  struct json_object *v;

  return json_object_object_get_ex (line, key, &v) && ti_json_u64 (v, out);
}

static bool
get_time (struct json_object *line, const char *key, zp_time *out)
{
  uint64_t n;

  if (!get_u64 (line, key, &n))
    return false;
  *out = (zp_time) n;
  return true;
}

static bool
get_moved (struct json_object *line, uint32_t *out)
{
  uint64_t n;

  if (!get_u64 (line, "moved", &n) || n > TI_SHARE_ONE)
    return false;
  *out = (uint32_t) n;
  return true;
}

/* Configurations.  */

void
ti_config_encode (const struct ti_config *c, struct zp_buf *out)
{
  zp_buf_printf (out,
                 "{\"number\":%" PRIu64 ",\"index\":%" PRIu64
                 ",\"time\":%" PRId64 ",\"forgotten\":%" PRIu64
                 ",\"slots\":%zu}\n",
                 c->number, c->index, c->time, c->forgotten, c->len);
  for (size_t i = 0; i < c->len; i++)
    {
      const struct ti_slot *s = &c->slot[i];
      zp_buf_printf (out, "{\"key\":\"%s/%.*s\",\"number\":%" PRIu64,
                     TI_KEY_ARG (&s->key), s->number);
      if (s->moved > 0)
        zp_buf_printf (out, ",\"moved\":%u", s->moved);
      if (s->object)
        {
          zp_buf_put (out, ZP_STR (",\"object\":"));
          ti_object_write (s->object, out);
        }
      else
        zp_buf_printf (out, ",\"deleted\":%" PRId64, s->deleted_at);
      zp_buf_put (out, ZP_STR ("}\n"));
    }
}

static struct json_object *
next_line (struct zp_str *bytes, struct zp_err *err)
{
  struct zp_str line, rest;

  zp_str_split (*bytes, '\n', &line, &rest);
  *bytes = rest;
  return zp_json_parse (line, err);
}

static bool
decode_header (struct json_object *line, struct ti_config *c, uint64_t *slots)
{
  return get_u64 (line, "number", &c->number)
         && get_u64 (line, "index", &c->index)
         && get_time (line, "time", &c->time)
         && get_u64 (line, "forgotten", &c->forgotten)
         && get_u64 (line, "slots", slots) && *slots <= SLOTS_MAX;
}

static bool
decode_slot (struct json_object *line, struct ti_slot *s, struct zp_err *err)
{
  struct zp_report report = { .count = 0 };
  struct json_object *v;

  json_object_object_get_ex (line, "key", &v);
  if (!ti_key_parse (ti_json_str (v), &s->key, err))
    return false;
  if (!get_u64 (line, "number", &s->number))
    return zp_fail (err, ZP_ECORRUPT, "%s/%.*s: missing \"number\"",
                    TI_KEY_ARG (&s->key));
  if (json_object_object_get_ex (line, "moved", &v)
      && !get_moved (line, &s->moved))
    return zp_fail (err, ZP_ECORRUPT, "%s/%.*s: bad \"moved\"",
                    TI_KEY_ARG (&s->key));
  if (!json_object_object_get_ex (line, "object", &v))
    return get_time (line, "deleted", &s->deleted_at)
           || zp_fail (err, ZP_ECORRUPT,
                       "%s/%.*s: missing \"object\" or \"deleted\"",
                       TI_KEY_ARG (&s->key));
  s->object = ti_object_read (&s->key, v, &report);
  if (!s->object)
    zp_fail (err, ZP_ECORRUPT, "%.*s", ZP_ARG (zp_str_of (&report.lines)));
  zp_report_free (&report);
  return s->object != NULL;
}

static bool
decode_slots (struct zp_str bytes, uint64_t slots, struct ti_config *c,
              struct zp_err *err)
{
  for (uint64_t i = 0; i < slots; i++)
    {
      struct json_object *line = next_line (&bytes, err);
      if (!line)
        return false;
      struct ti_slot s = { .number = 0 };
      bool ok = decode_slot (line, &s, err);
      json_object_put (line);
      if (!ok)
        return false;
      if (c->len == c->cap)
        {
          c->cap = c->cap > 0 ? c->cap * 2 : 16;
          c->slot = zp_realloc (c->slot, c->cap * sizeof *c->slot);
        }
      c->slot[c->len++] = s;
      if (i > 0 && ti_key_cmp (&c->slot[i - 1].key, &s.key) >= 0)
        return zp_fail (err, ZP_ECORRUPT,
                        "%s/%.*s: key not in ascending order",
                        TI_KEY_ARG (&s.key));
    }
  return bytes.len == 0
         || zp_fail (err, ZP_ECORRUPT, "%zu bytes after the last slot",
                     bytes.len);
}

struct ti_config *
ti_config_decode (struct zp_str bytes, struct zp_err *err)
{
  struct ti_config *c = ti_config_new ();
  struct json_object *header = next_line (&bytes, err);
  uint64_t slots = 0;
  bool ok = header != NULL;

  if (ok && !decode_header (header, c, &slots))
    ok = zp_fail (err, ZP_ECORRUPT, "configuration: bad header");
  json_object_put (header);
  if (ok && decode_slots (bytes, slots, c, err))
    return c;
  ti_config_free (c);
  return NULL;
}

/* Changes.  */

void
ti_change_encode (const struct ti_change *change, struct zp_buf *out)
{
  zp_buf_printf (out, "{\"index\":%" PRIu64 ",\"time\":%" PRId64,
                 change->index, change->time);
  switch (change->kind)
    {
    case TI_CHANGE_EDIT:
      zp_buf_printf (out, ",\"number\":%" PRIu64 ",\"digest\":\"%.*s\",",
                     change->u.edit.number,
                     ZP_ARG (ti_digest_str (&change->u.edit.digest)));
      ti_edit_write (&change->u.edit.edit, out);
      break;
    case TI_CHANGE_STEP:
      zp_buf_printf (out, ",\"step\":\"%.*s\",\"moved\":%u",
                     ZP_ARG (ti_text_str (&change->u.step.shift)),
                     change->u.step.moved);
      break;
    }
  zp_buf_put (out, ZP_STR ("}"));
}

static bool
decode_edit (struct json_object *root, struct ti_change_edit *e,
             struct zp_err *err)
{
  struct zp_report report = { .count = 0 };
  struct json_object *v;

  json_object_object_get_ex (root, "digest", &v);
  if (!get_u64 (root, "number", &e->number)
      || !ti_digest_parse (ti_json_str (v), &e->digest))
    return zp_fail (err, ZP_ECORRUPT,
                    "change: missing or bad \"number\" or \"digest\"");
  bool ok = ti_edit_read (root, &e->edit, &report);
  if (!ok)
    zp_fail (err, ZP_ECORRUPT, "%.*s", ZP_ARG (zp_str_of (&report.lines)));
  zp_report_free (&report);
  return ok;
}

static bool
decode_change (struct json_object *root, struct ti_change *c,
               struct zp_err *err)
{
  struct json_object *v;

  if (!get_u64 (root, "index", &c->index)
      || !get_time (root, "time", &c->time))
    return zp_fail (err, ZP_ECORRUPT,
                    "change: missing or bad \"index\" or \"time\"");
  if (!json_object_object_get_ex (root, "step", &v))
    {
      c->kind = TI_CHANGE_EDIT;
      return decode_edit (root, &c->u.edit, err);
    }
  c->kind = TI_CHANGE_STEP;
  if (!ti_name_parse (ti_json_str (v), &c->u.step.shift)
      || !get_moved (root, &c->u.step.moved))
    return zp_fail (err, ZP_ECORRUPT, "change: bad \"step\" or \"moved\"");
  return true;
}

struct ti_change *
ti_change_decode (struct zp_str bytes, struct zp_err *err)
{
  struct json_object *root = zp_json_parse (bytes, err);

  if (!root)
    return NULL;
  struct ti_change *c = zp_alloc (sizeof *c);
  bool ok = decode_change (root, c, err);
  json_object_put (root);
  if (ok)
    return c;
  ti_change_free (c);
  return NULL;
}

void
ti_change_free (struct ti_change *change)
{
  if (!change)
    return;
  switch (change->kind)
    {
    case TI_CHANGE_EDIT:
      ti_edit_free (&change->u.edit.edit);
      break;
    case TI_CHANGE_STEP:
      break;
    }
  free (change);
}

struct ti_config *
ti_config_from_update (const struct ti_config *base, bool whole,
                       struct zp_str bytes, struct zp_err *err)
{
  if (whole)
    return ti_config_decode (bytes, err);
  struct ti_change *change = ti_change_decode (bytes, err);
  if (!change)
    return NULL;
  struct ti_config *next = base ? ti_config_copy (base) : ti_config_new ();
  bool ok = ti_config_apply (next, change, err);
  ti_change_free (change);
  if (ok)
    return next;
  ti_config_free (next);
  return NULL;
}
