#include "base/settings.h"

#include <assert.h>
#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"

bool
zp_file_read (const char *path, struct zp_buf *out, size_t max,
              struct zp_err *err)
{
  char chunk[4096];
  size_t n;
  FILE *f = fopen (path, "re");

  if (!f)
    return zp_fail (err, ZP_EIO, "cannot open %s: %s", path, strerror (errno));
  while ((n = fread (chunk, 1, sizeof chunk, f)) > 0 && out->len <= max)
    zp_buf_put_bytes (out, chunk, n);
  bool bad = ferror (f) != 0;
  fclose (f);
  if (bad)
    return zp_fail (err, ZP_EIO, "cannot read %s", path);
  if (out->len > max)
    return zp_fail (err, ZP_ELIMIT, "%s is longer than %zu bytes", path, max);
  return true;
}

/* Line and column of the byte at offset AT, both counted from 1.  */
static void
position (struct zp_str text, size_t at, size_t *line, size_t *column)
{
  *line = 1;
  *column = 1;
  for (size_t i = 0; i < at && i < text.len; i++)
    if (text.ptr[i] == '\n')
      {
        ++*line;
        *column = 1;
      }
    else
      ++*column;
}

/* Parses the first value of TEXT.  Sets END to the offset after the value and
   the white space and comments that follow it, or to the offset of the
   error.  */
static struct json_object *
parse_value (struct zp_str text, size_t *end, enum json_tokener_error *e)
{
  struct json_tokener *t = json_tokener_new_ex (16);
  struct json_object *root;

  json_tokener_set_flags (t, JSON_TOKENER_VALIDATE_UTF8);
  root = json_tokener_parse_ex (t, text.ptr, (int) text.len);
  *end = json_tokener_get_parse_end (t);
  if (!root && json_tokener_get_error (t) == json_tokener_continue)
    {
      /* The parser has read all of TEXT and expects more.  A newline ends a
         number or a line comment at the end of TEXT; any other value or
         comment is incomplete.  */
      *end = text.len;
      root = json_tokener_parse_ex (t, "\n", 1);
    }
  *e = json_tokener_get_error (t);
  if (*e == json_tokener_continue)
    *e = json_tokener_error_parse_eof;
  json_tokener_free (t);
  return root;
}

struct json_object *
zp_json_parse (struct zp_str text, struct zp_err *err)
{
  const char *why = NULL;
  enum json_tokener_error e;
  size_t end, line, column;

  if (!text.ptr)
    text = ZP_STR ("");
  if (text.len > INT32_MAX)
    {
      zp_fail (err, ZP_ELIMIT, "JSON text is too long");
      return NULL;
    }
  struct json_object *root = parse_value (text, &end, &e);
  if (e != json_tokener_success)
    why = json_tokener_error_desc (e);
  else if (!root)
    why = "no JSON value";
  else if (end < text.len)
    why = "text after the JSON value";
  if (!why)
    return root;
  position (text, end, &line, &column);
  json_object_put (root);
  zp_fail (err, ZP_EINVAL, "line %zu, column %zu: %s", line, column, why);
  return NULL;
}

#define DURATION_TEXT_MAX 32 /* bytes, with the zero byte */

bool
zp_duration_parse (struct zp_str text, zp_time *out)
{
  char copy[DURATION_TEXT_MAX], *end;

  if (!zp_str_copy (copy, sizeof copy, text) || copy[0] < '0' || copy[0] > '9')
    return false;
  double n = strtod (copy, &end);
  zp_time unit = strcmp (end, "ms") == 0  ? ZP_MS
                 : strcmp (end, "s") == 0 ? ZP_SEC
                                          : 0;
  if (unit == 0 || n * (double) unit > (double) INT64_MAX / 4)
    return false;
  *out = (zp_time) (n * (double) unit + 0.5);
  return true;
}

/* Values.  */

static bool
read_list (struct zp_settings *s, struct json_object *v, struct zp_strs *out)
{
  size_t n = json_object_array_length (v);
  struct zp_strs list = { .item = zp_alloc (n * sizeof *list.item) };

  assert (s->list_count < sizeof s->lists / sizeof s->lists[0]);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *e = json_object_array_get_idx (v, i);
      if (!json_object_is_type (e, json_type_string))
        {
          free (list.item);
          return false;
        }
      list.item[list.len++]
          = (struct zp_str){ .ptr = json_object_get_string (e),
                             .len = (size_t) json_object_get_string_len (e) };
    }
  s->lists[s->list_count++] = list;
  *out = list;
  return true;
}

/* Stores V in OUT.  Returns false when the setting T does not allow V.  */
static bool
read_value (struct zp_settings *s, const struct zp_setting *t,
            struct json_object *v, char *out)
{
  int64_t n;
  double real;

  switch (t->kind)
    {
    case ZP_SETTING_TEXT:
      if (!json_object_is_type (v, json_type_string))
        return false;
      *(struct zp_str *) (void *) out
          = (struct zp_str){ .ptr = json_object_get_string (v),
                             .len = (size_t) json_object_get_string_len (v) };
      return true;
    case ZP_SETTING_INT:
      if (!json_object_is_type (v, json_type_int))
        return false;
      n = json_object_get_int64 (v);
      if (n < t->min || n > t->max)
        return false;
      *(int64_t *) (void *) out = n;
      return true;
    case ZP_SETTING_BOOL:
      if (!json_object_is_type (v, json_type_boolean))
        return false;
      *(bool *) out = json_object_get_boolean (v);
      return true;
    case ZP_SETTING_LIST:
      if (!json_object_is_type (v, json_type_array))
        return false;
      return read_list (s, v, (struct zp_strs *) (void *) out);
    case ZP_SETTING_DURATION:
      return json_object_is_type (v, json_type_string)
             && zp_duration_parse (zp_str_from (json_object_get_string (v)),
                                   (zp_time *) (void *) out);
    case ZP_SETTING_REAL:
      if (!json_object_is_type (v, json_type_int)
          && !json_object_is_type (v, json_type_double))
        return false;
      real = json_object_get_double (v);
      if (real < (double) t->min || real > (double) t->max)
        return false;
      *(double *) (void *) out = real;
      return true;
    }
  return false;
}

static const char *
kind_text (enum zp_setting_kind kind)
{
  switch (kind)
    {
    case ZP_SETTING_TEXT:
      return "a string";
    case ZP_SETTING_BOOL:
      return "true or false";
    case ZP_SETTING_LIST:
      return "a list of strings";
    case ZP_SETTING_DURATION:
      return "a duration such as \"250ms\" or \"2.5s\"";
    case ZP_SETTING_INT:
    case ZP_SETTING_REAL:
      return "a number";
    }
  return "";
}

static void
report_value (struct zp_report *r, const char *path,
              const struct zp_setting *t, struct json_object *v)
{
  const char *found
      = json_object_to_json_string_ext (v, JSON_C_TO_STRING_PLAIN);

  if (t->allowed)
    zp_report_add (r, "%s: \"%s\": found %s, allowed: %s", path, t->key, found,
                   t->allowed);
  else if (t->kind == ZP_SETTING_INT)
    zp_report_add (r,
                   "%s: \"%s\": found %s, allowed: a number from %lld to "
                   "%lld",
                   path, t->key, found, (long long) t->min,
                   (long long) t->max);
  else
    zp_report_add (r, "%s: \"%s\": found %s, allowed: %s", path, t->key, found,
                   kind_text (t->kind));
}

static const struct zp_setting *
find_setting (const struct zp_setting *table, const char *key)
{
  for (; table->key; table++)
    if (strcmp (table->key, key) == 0)
      return table;
  return NULL;
}

bool
zp_settings_load (struct zp_settings *s, const char *path,
                  const struct zp_setting *table, void *out,
                  struct zp_report *report)
{
  struct zp_buf text = { .ptr = NULL };
  struct zp_err err = { .code = ZP_OK };
  size_t before = report->count;

  *s = (struct zp_settings){ .root = NULL };
  if (!zp_file_read (path, &text, ZP_SETTINGS_MAX, &err))
    zp_report_add (report, "%s", err.text);
  else if (!(s->root = zp_json_parse (zp_str_of (&text), &err)))
    zp_report_add (report, "%s: %s", path, err.text);
  else if (!json_object_is_type (s->root, json_type_object))
    zp_report_add (report, "%s: not a JSON object", path);
  zp_buf_free (&text);
  if (report->count > before)
    return false;

  json_object_object_foreach (s->root, key, value)
  {
    const struct zp_setting *t = find_setting (table, key);
    if (!t)
      zp_report_add (report, "%s: \"%s\": unknown key", path, key);
    else if (!read_value (s, t, value, (char *) out + t->offset))
      report_value (report, path, t, value);
  }
  for (const struct zp_setting *t = table; t->key; t++)
    if (t->required && !json_object_object_get_ex (s->root, t->key, NULL))
      zp_report_add (report, "%s: \"%s\": missing, required", path, t->key);
  return report->count == before;
}

void
zp_settings_free (struct zp_settings *s)
{
  for (size_t i = 0; i < s->list_count; i++)
    free (s->lists[i].item);
  json_object_put (s->root);
  *s = (struct zp_settings){ .root = NULL };
}
