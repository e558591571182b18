#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ticket/json.h"
#include "ticket/object.h"

#define LATENCY_DIGITS 3         /* milliseconds to microseconds */
#define LATENCY_MAX_US 10000000U /* 10 s */
#define SHARE_DIGITS 6

/* The object and the field that a mistake is reported for.  */
struct location
{
  const struct ti_key *key;
  const struct ti_field *field;
  struct zp_report *report;
};

static bool
add_mistake (const struct location *p, struct json_object *found,
             const char *allowed)
{
  struct zp_str f = ti_json_excerpt (found);

  zp_report_add (p->report, "%s/%.*s: \"%s\": found %.*s, allowed: %s",
                 TI_KEY_ARG (p->key), p->field->key, ZP_ARG (f), allowed);
  return false;
}

/* Reading.  The functions return false after they have reported a mistake.  */

static bool
read_int (const struct location *p, struct json_object *v, uint32_t *out)
{
  const struct ti_field *f = p->field;
  char allowed[80];
  uint64_t n;

  if (ti_json_u64 (v, &n) && n >= f->min && n <= f->max)
    {
      *out = (uint32_t) n;
      return true;
    }
  snprintf (allowed, sizeof allowed, "a whole number from %u to %u", f->min,
            f->max);
  return add_mistake (p, v, allowed);
}

static bool
read_class (const struct location *p, struct json_object *v,
            enum ti_class *out)
{
  struct zp_str s = ti_json_str (v);

  for (enum ti_class c = TI_CLASS_IDEMPOTENT; c <= TI_CLASS_ONCE; c++)
    if (zp_str_eq (s, zp_str_from (ti_class_name (c))))
      {
        *out = c;
        return true;
      }
  return add_mistake (p, v, "\"idempotent\" or \"once\"");
}

static bool
read_role (const struct location *p, struct json_object *v, enum ti_role *out)
{
  struct zp_str s = ti_json_str (v);

  for (enum ti_role r = TI_ROLE_VOTER; r <= TI_ROLE_LEARNER; r++)
    if (zp_str_eq (s, zp_str_from (ti_role_name (r))))
      {
        *out = r;
        return true;
      }
  return add_mistake (p, v, "\"voter\" or \"learner\"");
}

static bool
read_target (const struct location *p, struct json_object *v,
             struct ti_target *out)
{
  struct zp_str kind, name;

  if (zp_str_split (ti_json_str (v), '/', &kind, &name)
      && ti_name_parse (name, &out->name))
    for (enum ti_target_kind k = TI_TARGET_SERVER; k <= TI_TARGET_REGION; k++)
      if (zp_str_eq (kind, zp_str_from (ti_target_kind_name (k))))
        {
          out->kind = k;
          return true;
        }
  return add_mistake (
      p, v,
      "\"server/ID\", \"entry/ID\", \"failure_domain/NAME\" or "
      "\"region/NAME\"");
}

static bool
read_address (const struct location *p, struct json_object *v,
              struct ti_text *out)
{
  struct zp_buf canonical = { .ptr = NULL };
  struct ti_prefix host;
  bool ok = ti_address_parse (ti_json_str (v), &canonical, &host)
            && ti_text_set (out, zp_str_of (&canonical));

  zp_buf_free (&canonical);
  return ok || add_mistake (p, v, "\"IP:port\", IPv6 in brackets");
}

static int
cmp_latency (const void *a, const void *b)
{
  const struct ti_latency *x = a, *y = b;

  return ti_text_cmp (&x->region, &y->region);
}

static bool
read_latencies (const struct location *p, struct json_object *v,
                struct ti_latencies *out)
{
  bool ok = true;

  if (!json_object_is_type (v, json_type_object))
    return add_mistake (p, v, "an object of region names and milliseconds");
  size_t n = (size_t) json_object_object_length (v);
  if (n > TI_LATENCIES_MAX)
    return add_mistake (p, v, "at most 64 regions");
  out->item = zp_alloc (n * sizeof *out->item);
  json_object_object_foreach (v, name, ms)
  {
    struct ti_latency *l = &out->item[out->len];
    if (!ti_name_parse (zp_str_from (name), &l->region)
        || !ti_json_decimal (ms, LATENCY_DIGITS, LATENCY_MAX_US, &l->us))
      {
        struct zp_str f = ti_json_excerpt (ms);
        zp_report_add (p->report,
                       "%s/%.*s: \"%s\": \"%.64s\": found %.*s, allowed: a "
                       "region name with 0 to 10000 ms, at most 3 decimals",
                       TI_KEY_ARG (p->key), p->field->key, name, ZP_ARG (f));
        ok = false;
      }
    else
      out->len++;
  }
  qsort (out->item, out->len, sizeof *out->item, cmp_latency);
  return ok;
}

static int
cmp_prefix (const void *a, const void *b)
{
  return ti_prefix_cmp (a, b);
}

static bool
read_prefixes (const struct location *p, struct json_object *v,
               struct ti_prefixes *out)
{
  char allowed[64];
  bool ok = true;

  snprintf (allowed, sizeof allowed, "a list of %u to %u \"IP/bits\"",
            p->field->min, p->field->max);
  if (!json_object_is_type (v, json_type_array))
    return add_mistake (p, v, allowed);
  size_t n = json_object_array_length (v);
  if (n < p->field->min || n > p->field->max)
    {
      zp_report_add (p->report,
                     "%s/%.*s: \"%s\": found %zu items, allowed: %s",
                     TI_KEY_ARG (p->key), p->field->key, n, allowed);
      return false;
    }
  out->item = zp_alloc (n * sizeof *out->item);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *e = json_object_array_get_idx (v, i);
      if (ti_prefix_parse (ti_json_str (e), &out->item[out->len]))
        out->len++;
      else
        ok = add_mistake (p, e, "\"IP/bits\" with zero bits after the prefix");
    }
  qsort (out->item, out->len, sizeof *out->item, cmp_prefix);
  for (size_t i = 1; i < out->len; i++)
    if (ti_prefix_cmp (&out->item[i - 1], &out->item[i]) == 0)
      {
        struct zp_buf text = { .ptr = NULL };
        ti_prefix_print (&out->item[i], &text);
        zp_report_add (p->report,
                       "%s/%.*s: \"%s\": found %s twice, allowed: once",
                       TI_KEY_ARG (p->key), p->field->key, text.ptr);
        zp_buf_free (&text);
        ok = false;
      }
  return ok;
}

static bool
read_blob (const struct location *p, struct json_object *v,
           struct ti_blob *out)
{
  struct zp_str s = ti_json_str (v);

  out->ptr = zp_alloc (s.len + 1);
  if (json_object_is_type (v, json_type_string)
      && sodium_base642bin ((unsigned char *) out->ptr, s.len + 1, s.ptr,
                            s.len, NULL, &out->len, NULL,
                            sodium_base64_VARIANT_ORIGINAL)
             == 0)
    return true;
  return add_mistake (p, v, "base64");
}

static bool
read_field (const struct location *p, struct json_object *v, void *out)
{
  switch (p->field->kind)
    {
    case TI_FIELD_CLASS:
      return read_class (p, v, out);
    case TI_FIELD_ROLE:
      return read_role (p, v, out);
    case TI_FIELD_BOOL:
      if (!json_object_is_type (v, json_type_boolean))
        return add_mistake (p, v, "true or false");
      *(bool *) out = json_object_get_boolean (v);
      return true;
    case TI_FIELD_INT:
      return read_int (p, v, out);
    case TI_FIELD_SHARE:
      if (ti_json_decimal (v, SHARE_DIGITS, p->field->max, out)
          && *(uint32_t *) out >= p->field->min)
        return true;
      return add_mistake (
          p, v,
          p->field->min > 0
              ? "a number above 0 and at most 1, at most 6 decimals"
              : "a number from 0 to 1, at most 6 decimals");
    case TI_FIELD_REF:
      if (ti_name_parse (ti_json_str (v), out))
        return true;
      return add_mistake (p, v, "the name of an object");
    case TI_FIELD_ADDRESS:
      return read_address (p, v, out);
    case TI_FIELD_TARGET:
      return read_target (p, v, out);
    case TI_FIELD_LATENCIES:
      return read_latencies (p, v, out);
    case TI_FIELD_PREFIXES:
      return read_prefixes (p, v, out);
    case TI_FIELD_NUMBER:
      return ti_json_u64 (v, out) || add_mistake (p, v, "a whole number");
    case TI_FIELD_BLOB:
      return read_blob (p, v, out);
    }
  return false;
}

static bool
known_field (enum ti_kind kind, const char *key)
{
  for (const struct ti_field *f = ti_fields (kind); f->key; f++)
    if (strcmp (f->key, key) == 0)
      return true;
  return false;
}

struct ti_object *
ti_object_read (const struct ti_key *key, struct json_object *fields,
                struct zp_report *report)
{
  if (!json_object_is_type (fields, json_type_object))
    {
      struct zp_str f = ti_json_excerpt (fields);
      zp_report_add (report, "%s/%.*s: found %.*s, allowed: an object",
                     TI_KEY_ARG (key), ZP_ARG (f));
      return NULL;
    }
  struct ti_object *o = zp_alloc (sizeof *o);
  bool ok = true;

  o->key = *key;
  json_object_object_foreach (fields, name, value)
  {
    (void) value;
    if (!known_field (key->kind, name))
      {
        zp_report_add (report, "%s/%.*s: \"%.64s\": unknown field",
                       TI_KEY_ARG (key), name);
        ok = false;
      }
  }
  for (const struct ti_field *f = ti_fields (key->kind); f->key; f++)
    {
      struct location p = { .key = key, .field = f, .report = report };
      struct json_object *v;

      if (!json_object_object_get_ex (fields, f->key, &v))
        {
          zp_report_add (report, "%s/%.*s: \"%s\": missing, required",
                         TI_KEY_ARG (key), f->key);
          ok = false;
        }
      else if (!read_field (&p, v, (char *) o + f->offset))
        ok = false;
    }
  if (ok)
    return o;
  ti_object_free (o);
  return NULL;
}

/* Writing.  Names and addresses have no characters that JSON escapes.  */

static void
write_text (const struct ti_text *t, struct zp_buf *out)
{
  zp_buf_printf (out, "\"%.*s\"", ZP_ARG (ti_text_str (t)));
}

static void
write_latencies (const struct ti_latencies *l, struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("{"));
  for (size_t i = 0; i < l->len; i++)
    {
      if (i > 0)
        zp_buf_put (out, ZP_STR (","));
      write_text (&l->item[i].region, out);
      zp_buf_put (out, ZP_STR (":"));
      ti_json_put_decimal (out, l->item[i].us, LATENCY_DIGITS);
    }
  zp_buf_put (out, ZP_STR ("}"));
}

static void
write_prefixes (const struct ti_prefixes *l, struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("["));
  for (size_t i = 0; i < l->len; i++)
    {
      zp_buf_put (out, i > 0 ? ZP_STR (",\"") : ZP_STR ("\""));
      ti_prefix_print (&l->item[i], out);
      zp_buf_put (out, ZP_STR ("\""));
    }
  zp_buf_put (out, ZP_STR ("]"));
}

static void
write_blob (const struct ti_blob *b, struct zp_buf *out)
{
  size_t n
      = sodium_base64_ENCODED_LEN (b->len, sodium_base64_VARIANT_ORIGINAL);
  char *text = zp_alloc (n);

  sodium_bin2base64 (text, n, (const unsigned char *) b->ptr, b->len,
                     sodium_base64_VARIANT_ORIGINAL);
  zp_buf_printf (out, "\"%s\"", text);
  free (text);
}

static void
write_field (const struct ti_field *f, const void *value, struct zp_buf *out)
{
  switch (f->kind)
    {
    case TI_FIELD_CLASS:
      zp_buf_printf (out, "\"%s\"",
                     ti_class_name (*(const enum ti_class *) value));
      break;
    case TI_FIELD_ROLE:
      zp_buf_printf (out, "\"%s\"",
                     ti_role_name (*(const enum ti_role *) value));
      break;
    case TI_FIELD_BOOL:
      zp_buf_put (out,
                  *(const bool *) value ? ZP_STR ("true") : ZP_STR ("false"));
      break;
    case TI_FIELD_INT:
      zp_buf_printf (out, "%u", *(const uint32_t *) value);
      break;
    case TI_FIELD_SHARE:
      ti_json_put_decimal (out, *(const uint32_t *) value, SHARE_DIGITS);
      break;
    case TI_FIELD_REF:
    case TI_FIELD_ADDRESS:
      write_text (value, out);
      break;
    case TI_FIELD_TARGET:
      zp_buf_printf (
          out, "\"%s/%.*s\"",
          ti_target_kind_name (((const struct ti_target *) value)->kind),
          ZP_ARG (ti_text_str (&((const struct ti_target *) value)->name)));
      break;
    case TI_FIELD_LATENCIES:
      write_latencies (value, out);
      break;
    case TI_FIELD_PREFIXES:
      write_prefixes (value, out);
      break;
    case TI_FIELD_NUMBER:
      zp_buf_printf (out, "%" PRIu64, *(const uint64_t *) value);
      break;
    case TI_FIELD_BLOB:
      write_blob (value, out);
      break;
    }
}

void
ti_object_write (const struct ti_object *o, struct zp_buf *out)
{
  const struct ti_field *first = ti_fields (o->key.kind);

  zp_buf_put (out, ZP_STR ("{"));
  for (const struct ti_field *f = first; f->key; f++)
    {
      zp_buf_printf (out, f == first ? "\"%s\":" : ",\"%s\":", f->key);
      write_field (f, (const char *) o + f->offset, out);
    }
  zp_buf_put (out, ZP_STR ("}"));
}
