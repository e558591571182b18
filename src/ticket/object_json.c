#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ticket/json.h"
#include "ticket/object.h"

#define LATENCY_MAX_US 10000000U /* 10 s */

/* The object and the field that a mistake is reported for.  */
struct location
{
  const struct ti_key *key;
  const struct ti_field *field;
  struct zp_report *report;
};

/* The text to report for the value FOUND of an object KEY.  A value of a
   workspace may be a key that stands in the wrong place, so only numbers are
   shown.  */
static struct zp_str
excerpt (const struct ti_key *key, struct json_object *found)
{
  if (key->kind == TI_WORKSPACE && !json_object_is_type (found, json_type_int)
      && !json_object_is_type (found, json_type_double))
    return ZP_STR ("another value");
  return ti_json_excerpt (found);
}

static bool
add_mistake (const struct location *p, struct json_object *found,
             const char *allowed)
{
  struct zp_str f = p->field->kind == TI_FIELD_SECRETS
                        ? ZP_STR ("another value")
                        : excerpt (p->key, found);

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
        || !ti_json_decimal (ms, TI_LATENCY_DIGITS, LATENCY_MAX_US, &l->us))
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
read_rate (const struct location *p, struct json_object *v, uint32_t *out)
{
  const struct ti_field *f = p->field;
  char allowed[80];

  if (ti_json_decimal (v, TI_RATE_DIGITS, f->max, out) && *out >= f->min)
    return true;
  snprintf (allowed, sizeof allowed,
            "a number from %u to %u, at most %d decimals",
            f->min / TI_RATE_ONE, f->max / TI_RATE_ONE, TI_RATE_DIGITS);
  return add_mistake (p, v, allowed);
}

/* Whether V is a list of a length that the field allows.  */
static bool
check_list (const struct location *p, struct json_object *v, const char *what)
{
  char allowed[64];

  snprintf (allowed, sizeof allowed, "a list of %u to %u %s", p->field->min,
            p->field->max, what);
  if (!json_object_is_type (v, json_type_array))
    return add_mistake (p, v, allowed);
  size_t n = json_object_array_length (v);
  if (n >= p->field->min && n <= p->field->max)
    return true;
  zp_report_add (p->report, "%s/%.*s: \"%s\": found %zu items, allowed: %s",
                 TI_KEY_ARG (p->key), p->field->key, n, allowed);
  return false;
}

static int
cmp_secret (const void *a, const void *b)
{
  const struct ti_blob *x = a, *y = b;

  return zp_str_cmp ((struct zp_str){ .ptr = x->ptr, .len = x->len },
                     (struct zp_str){ .ptr = y->ptr, .len = y->len });
}

/* Whether S can be the value of an HTTP header, and is not cut by one.  */
static bool
is_secret (struct zp_str s)
{
  for (size_t i = 0; i < s.len; i++)
    if (s.ptr[i] < '!' || s.ptr[i] > '~')
      return false;
  return s.len > 0 && s.len <= ZP_KEY_MAX;
}

static bool
read_secrets (const struct location *p, struct json_object *v,
              struct ti_secrets *out)
{
  bool ok = true;

  if (!check_list (p, v, "keys"))
    return false;
  size_t n = json_object_array_length (v);
  out->item = zp_alloc (n * sizeof *out->item);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *e = json_object_array_get_idx (v, i);
      struct zp_str s = ti_json_str (e);
      if (!is_secret (s))
        {
          ok = add_mistake (
              p, e, "keys of 1 to 256 visible ASCII characters, no spaces");
          continue;
        }
      out->item[out->len]
          = (struct ti_blob){ .ptr = zp_alloc (s.len), .len = s.len };
      memcpy (out->item[out->len++].ptr, s.ptr, s.len);
    }
  qsort (out->item, out->len, sizeof *out->item, cmp_secret);
  for (size_t i = 1; i < out->len && ok; i++)
    if (cmp_secret (&out->item[i - 1], &out->item[i]) == 0)
      {
        zp_report_add (p->report,
                       "%s/%.*s: \"%s\": found a key twice, allowed: once",
                       TI_KEY_ARG (p->key), p->field->key);
        ok = false;
      }
  return ok;
}

static int
cmp_text (const void *a, const void *b)
{
  return ti_text_cmp (a, b);
}

static bool
read_refs (const struct location *p, struct json_object *v,
           struct ti_names *out)
{
  bool ok = true;

  if (!check_list (p, v, "names"))
    return false;
  size_t n = json_object_array_length (v);
  out->item = zp_alloc (n * sizeof *out->item);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *e = json_object_array_get_idx (v, i);
      if (ti_name_parse (ti_json_str (e), &out->item[out->len]))
        out->len++;
      else
        ok = add_mistake (p, e, "names of objects");
    }
  qsort (out->item, out->len, sizeof *out->item, cmp_text);
  for (size_t i = 1; i < out->len && ok; i++)
    if (ti_text_eq (&out->item[i - 1], &out->item[i]))
      {
        zp_report_add (p->report,
                       "%s/%.*s: \"%s\": found a name twice, allowed: once",
                       TI_KEY_ARG (p->key), p->field->key);
        ok = false;
      }
  return ok;
}

static bool
read_optional_int (const struct location *p, struct json_object *v,
                   struct ti_optional_int *out)
{
  out->given = read_int (p, v, &out->value);
  return out->given;
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
      if (ti_json_decimal (v, TI_SHARE_DIGITS, p->field->max, out)
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
    case TI_FIELD_RATE:
      return read_rate (p, v, out);
    case TI_FIELD_SECRETS:
      return read_secrets (p, v, out);
    case TI_FIELD_REFS:
      return read_refs (p, v, out);
    case TI_FIELD_OPTIONAL_INT:
      return read_optional_int (p, v, out);
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
      struct zp_str f = excerpt (key, fields);
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
                       TI_KEY_ARG (key),
                       key->kind == TI_WORKSPACE ? "another name" : name);
        ok = false;
      }
  }
  for (const struct ti_field *f = ti_fields (key->kind); f->key; f++)
    {
      struct location p = { .key = key, .field = f, .report = report };
      struct json_object *v;

      if (!json_object_object_get_ex (fields, f->key, &v))
        {
          if (f->optional)
            continue;
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
