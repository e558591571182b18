#include "ticket/ticket.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/settings.h"
#include "ticket/json.h"

#define DIGEST_BYTES 32

/* Keys and edits.  */

void
ti_keys_add (struct ti_keys *k, const struct ti_key *key)
{
  /* The capacity is not stored: it is LEN rounded up to a power of two.  */
  if ((k->len & (k->len - 1)) == 0)
    k->item
        = zp_realloc (k->item, (k->len ? k->len * 2 : 1) * sizeof *k->item);
  k->item[k->len++] = *key;
}

void
ti_keys_write (const struct ti_keys *k, struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("["));
  for (size_t i = 0; i < k->len; i++)
    zp_buf_printf (out, i > 0 ? ",\"%s/%.*s\"" : "\"%s/%.*s\"",
                   TI_KEY_ARG (&k->item[i]));
  zp_buf_put (out, ZP_STR ("]"));
}

void
ti_keys_free (struct ti_keys *k)
{
  free (k->item);
  *k = (struct ti_keys){ .len = 0 };
}

static int
cmp_key (const void *a, const void *b)
{
  return ti_key_cmp (a, b);
}

static int
cmp_object (const void *a, const void *b)
{
  const struct ti_object *const *x = a, *const *y = b;

  return ti_key_cmp (&(*x)->key, &(*y)->key);
}

bool
ti_edit_sets (const struct ti_edit *e, const struct ti_key *key)
{
  const struct ti_object probe = { .key = *key }, *p = &probe;

  return e->set_len > 0
         && bsearch (&p, e->set, e->set_len, sizeof (struct ti_object *),
                     cmp_object);
}

bool
ti_edit_deletes (const struct ti_edit *e, const struct ti_key *key)
{
  return e->deleted.len > 0
         && bsearch (key, e->deleted.item, e->deleted.len,
                     sizeof *e->deleted.item, cmp_key);
}

void
ti_edit_sort (struct ti_edit *e)
{
  if (e->set_len > 0)
    qsort (e->set, e->set_len, sizeof (struct ti_object *), cmp_object);
  if (e->deleted.len > 0)
    qsort (e->deleted.item, e->deleted.len, sizeof *e->deleted.item, cmp_key);
}

static void
read_set (struct json_object *v, struct ti_edit *e, struct zp_report *report)
{
  struct zp_err err;

  if (!json_object_is_type (v, json_type_object))
    {
      zp_report_add (report,
                     "\"set\": found %.*s, allowed: an object of "
                     "\"KIND/NAME\" and fields",
                     ZP_ARG (ti_json_outline (v)));
      return;
    }
  e->set = zp_alloc ((size_t) json_object_object_length (v)
                     * sizeof (struct ti_object *));
  json_object_object_foreach (v, name, fields)
  {
    struct ti_key key;
    if (!ti_key_parse (zp_str_from (name), &key, &err))
      {
        zp_report_add (report, "\"set\": %s", err.text);
        continue;
      }
    struct ti_object *o = ti_object_read (&key, fields, report);
    if (o)
      e->set[e->set_len++] = o;
  }
}

static void
read_delete (struct json_object *v, struct ti_edit *e,
             struct zp_report *report)
{
  struct zp_err err;

  if (!json_object_is_type (v, json_type_array))
    {
      zp_report_add (report,
                     "\"delete\": found %.*s, allowed: a list of "
                     "\"KIND/NAME\"",
                     ZP_ARG (ti_json_outline (v)));
      return;
    }
  for (size_t i = 0; i < json_object_array_length (v); i++)
    {
      struct json_object *s = json_object_array_get_idx (v, i);
      struct ti_key key;
      if (ti_key_parse (ti_json_str (s), &key, &err))
        ti_keys_add (&e->deleted, &key);
      else
        zp_report_add (report, "\"delete\": %s", err.text);
    }
}

static void
check_deleted (const struct ti_edit *e, struct zp_report *report)
{
  const struct ti_key *k = e->deleted.item;

  for (size_t i = 0; i < e->deleted.len; i++)
    {
      if (i > 0 && ti_key_cmp (&k[i - 1], &k[i]) == 0)
        zp_report_add (report,
                       "\"delete\": %s/%.*s: found twice, allowed: "
                       "once",
                       TI_KEY_ARG (&k[i]));
      if (ti_edit_sets (e, &k[i]))
        zp_report_add (report,
                       "%s/%.*s: found in \"set\" and in \"delete\", "
                       "allowed: one of them",
                       TI_KEY_ARG (&k[i]));
    }
}

bool
ti_edit_read (struct json_object *root, struct ti_edit *out,
              struct zp_report *report)
{
  size_t before = report->count;
  struct json_object *v;

  *out = (struct ti_edit){ .set = NULL };
  if (json_object_object_get_ex (root, "set", &v))
    read_set (v, out, report);
  if (json_object_object_get_ex (root, "delete", &v))
    read_delete (v, out, report);
  ti_edit_sort (out);
  check_deleted (out, report);
  return report->count == before;
}

void
ti_edit_write (const struct ti_edit *e, struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("\"set\":{"));
  for (size_t i = 0; i < e->set_len; i++)
    {
      zp_buf_printf (out, i > 0 ? ",\"%s/%.*s\":" : "\"%s/%.*s\":",
                     TI_KEY_ARG (&e->set[i]->key));
      ti_object_write (e->set[i], out);
    }
  zp_buf_put (out, ZP_STR ("},\"delete\":"));
  ti_keys_write (&e->deleted, out);
}

void
ti_edit_free (struct ti_edit *e)
{
  for (size_t i = 0; i < e->set_len; i++)
    ti_object_free (e->set[i]);
  free (e->set);
  ti_keys_free (&e->deleted);
  *e = (struct ti_edit){ .set = NULL };
}

/* Tickets.  */

static bool
known_key (const char *key)
{
  static const char *const keys[]
      = { "title", "author", "against", "number", "set", "delete" };

  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    if (strcmp (keys[i], key) == 0)
      return true;
  return false;
}

static void
read_title (struct json_object *v, struct ti_ticket *t,
            struct zp_report *report)
{
  struct zp_str s = ti_json_str (v);

  if (s.len == 0 || s.len > TI_TITLE_MAX)
    zp_report_add (report,
                   "\"title\": found %.*s, allowed: a text of 1 to %d bytes",
                   ZP_ARG (ti_json_excerpt (v)), TI_TITLE_MAX);
  else
    t->title = zp_buf_from (s);
}

static void
read_author (struct json_object *v, struct ti_ticket *t,
             struct zp_report *report)
{
  if (!ti_name_parse (ti_json_str (v), &t->author))
    zp_report_add (report,
                   "\"author\": found %.*s, allowed: the name of an operator "
                   "(1 to %d letters, digits, \".\", \"_\" and \"-\")",
                   ZP_ARG (ti_json_excerpt (v)), ZP_NAME_MAX - 1);
}

static void
read_numbers (struct json_object *root, struct ti_ticket *t,
              struct zp_report *report)
{
  struct json_object *v;

  json_object_object_get_ex (root, "against", &v);
  if (!ti_json_u64 (v, &t->against))
    zp_report_add (report,
                   "\"against\": found %.*s, allowed: the number of the "
                   "configuration that the ticket is based on",
                   ZP_ARG (ti_json_excerpt (v)));
  if (json_object_object_get_ex (root, "number", &v)
      && (!ti_json_u64 (v, &t->number) || t->number == 0))
    zp_report_add (report,
                   "\"number\": found %.*s, allowed: a whole number above 0, "
                   "or no \"number\" for the next one",
                   ZP_ARG (ti_json_excerpt (v)));
}

struct ti_ticket *
ti_ticket_read (struct json_object *root, struct zp_report *report)
{
  size_t before = report->count;
  struct json_object *v;

  if (!json_object_is_type (root, json_type_object))
    {
      zp_report_add (report, "ticket: found %.*s, allowed: an object",
                     ZP_ARG (ti_json_outline (root)));
      return NULL;
    }
  struct ti_ticket *t = zp_alloc (sizeof *t);
  json_object_object_foreach (root, key, value)
  {
    (void) value;
    if (!known_key (key))
      zp_report_add (report,
                     "ticket: \"%.64s\": unknown field, allowed: title, "
                     "author, against, number, set, delete",
                     key);
  }
  json_object_object_get_ex (root, "title", &v);
  read_title (v, t, report);
  json_object_object_get_ex (root, "author", &v);
  read_author (v, t, report);
  read_numbers (root, t, report);
  bool ok = ti_edit_read (root, &t->edit, report);
  size_t n = t->edit.set_len + t->edit.deleted.len;
  if (ok && (n == 0 || n > TI_EDIT_MAX))
    zp_report_add (report,
                   "ticket: found %zu objects in \"set\" and \"delete\", "
                   "allowed: 1 to %d",
                   n, TI_EDIT_MAX);
  if (report->count == before)
    return t;
  ti_ticket_free (t);
  return NULL;
}

struct ti_ticket *
ti_ticket_parse (struct zp_str text, struct zp_report *report)
{
  struct zp_err err;

  if (text.len > ZP_BODY_MAX)
    {
      zp_report_add (report, "ticket: found %zu bytes, allowed: at most %d",
                     text.len, ZP_BODY_MAX);
      return NULL;
    }
  struct json_object *root = zp_json_parse (text, &err);
  if (!root)
    {
      zp_report_add (report, "ticket: %s", err.text);
      return NULL;
    }
  struct ti_ticket *t = ti_ticket_read (root, report);
  json_object_put (root);
  return t;
}

void
ti_ticket_write (const struct ti_ticket *t, struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("{\"title\":"));
  ti_json_put_string (out, zp_str_of (&t->title));
  zp_buf_printf (out, ",\"author\":\"%.*s\",\"against\":%" PRIu64 ",",
                 ZP_ARG (ti_text_str (&t->author)), t->against);
  if (t->number > 0)
    zp_buf_printf (out, "\"number\":%" PRIu64 ",", t->number);
  ti_edit_write (&t->edit, out);
  zp_buf_put (out, ZP_STR ("}"));
}

void
ti_ticket_free (struct ti_ticket *t)
{
  if (!t)
    return;
  zp_buf_free (&t->title);
  ti_edit_free (&t->edit);
  free (t);
}

/* Digests.  */

void
ti_ticket_digest (const struct ti_ticket *t, struct ti_digest *out)
{
  static const char digits[] = "0123456789abcdef";
  struct zp_buf text = { .ptr = NULL };
  unsigned char hash[DIGEST_BYTES];

  ti_ticket_write (t, &text);
  crypto_generichash (hash, sizeof hash, (const unsigned char *) text.ptr,
                      text.len, NULL, 0);
  zp_buf_free (&text);
  for (size_t i = 0; i < sizeof hash; i++)
    {
      out->hex[2 * i] = digits[hash[i] >> 4];
      out->hex[2 * i + 1] = digits[hash[i] & 15];
    }
}

struct zp_str
ti_digest_str (const struct ti_digest *d)
{
  return (struct zp_str){ .ptr = d->hex, .len = sizeof d->hex };
}

static bool
hex_digit (char c)
{
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool
ti_digest_parse (struct zp_str text, struct ti_digest *out)
{
  if (text.len != sizeof out->hex)
    return false;
  for (size_t i = 0; i < text.len; i++)
    if (!hex_digit (text.ptr[i]))
      return false;
  memcpy (out->hex, text.ptr, text.len);
  return true;
}

bool
ti_digest_eq (const struct ti_digest *a, const struct ti_digest *b)
{
  return memcmp (a->hex, b->hex, sizeof a->hex) == 0;
}
