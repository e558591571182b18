#include "ctl/table.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define GAP 2 /* spaces between two columns */

/* Appends TEXT with "?" for each control character.  */
static void
put_text (struct zp_buf *out, const char *text)
{
  for (; *text; text++)
    zp_buf_put_bytes (
        out, (unsigned char) *text < ' ' || *text == 127 ? "?" : text, 1);
}

void
zc_value_put (struct zp_buf *out, struct json_object *object, const char *key)
{
  struct json_object *v = NULL;

  json_object_object_get_ex (object, key, &v);
  switch (json_object_get_type (v))
    {
    case json_type_null:
      zp_buf_put (out, ZP_STR ("-"));
      return;
    case json_type_boolean:
      put_text (out, json_object_get_boolean (v) ? "yes" : "no");
      return;
    case json_type_double:
      zp_buf_printf (out, "%.3f", json_object_get_double (v));
      return;
    case json_type_int:
    case json_type_string:
    case json_type_object:
    case json_type_array:
      put_text (out, json_object_get_string (v));
      return;
    }
}

/* Appends the value of column C in OBJECT, or its title when OBJECT is NULL.
 */
static void
put_cell (struct zp_buf *out, struct json_object *object,
          const struct zc_column *c)
{
  if (object)
    zc_value_put (out, object, c->key);
  else
    put_text (out, c->title);
}

static size_t
width_of (struct json_object *list, const struct zc_column *c)
{
  size_t width = strlen (c->title);
  struct zp_buf cell = { .ptr = NULL };

  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      zp_buf_clear (&cell);
      put_cell (&cell, json_object_array_get_idx (list, i), c);
      width = cell.len > width ? cell.len : width;
    }
  zp_buf_free (&cell);
  return width;
}

static void
put_line (struct zp_buf *out, struct json_object *object,
          const struct zc_column *columns, const size_t *width, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      size_t start = out->len;
      zp_buf_put (out, ZP_STR ("  "));
      put_cell (out, object, &columns[i]);
      while (i + 1 < n && out->len < start + GAP + width[i])
        zp_buf_put (out, ZP_STR (" "));
    }
  zp_buf_put (out, ZP_STR ("\n"));
}

void
zc_table_put (struct zp_buf *out, struct json_object *list,
              const struct zc_column *columns, size_t n)
{
  if (!json_object_is_type (list, json_type_array)
      || json_object_array_length (list) == 0)
    {
      zp_buf_put (out, ZP_STR ("  none\n"));
      return;
    }
  size_t *width = zp_alloc (n * sizeof *width);
  for (size_t i = 0; i < n; i++)
    width[i] = width_of (list, &columns[i]);
  put_line (out, NULL, columns, width, n);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    put_line (out, json_object_array_get_idx (list, i), columns, width, n);
  free (width);
}
