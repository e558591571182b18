#include "ticket/leaves.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "ticket/json.h"

static size_t
position (const struct ti_leaves *l, struct zp_str server)
{
  size_t i = 0;

  while (i < l->len && !zp_str_eq (zp_str_from (l->item[i].server), server))
    i++;
  return i;
}

static void
remove_at (struct ti_leaves *l, size_t at, size_t n)
{
  l->len -= n;
  memmove (&l->item[at], &l->item[at + n], (l->len - at) * sizeof *l->item);
}

void
ti_leaves_put (struct ti_leaves *l, const struct ti_leave *leave)
{
  size_t at = position (l, zp_str_from (leave->server));
  struct ti_leave x = *leave;

  if (at < l->len)
    {
      if (x.left_ms < l->item[at].left_ms)
        x.left_ms = l->item[at].left_ms;
      remove_at (l, at, 1);
    }
  else if (l->len == TI_LEAVES_MAX)
    remove_at (l, 0, 1);
  if (l->len == l->cap)
    {
      l->cap = l->cap > 0 ? 2 * l->cap : 16;
      l->item = zp_realloc (l->item, l->cap * sizeof *l->item);
    }
  l->item[l->len++] = x;
}

const struct ti_leave *
ti_leaves_find (const struct ti_leaves *l, struct zp_str server)
{
  size_t at = position (l, server);

  return at < l->len ? &l->item[at] : NULL;
}

void
ti_leaves_expire (struct ti_leaves *l, zp_time now)
{
  size_t old = 0;

  while (old < l->len && l->item[old].at < now - TI_LEAVE_TTL)
    old++;
  if (old > 0)
    remove_at (l, 0, old);
}

void
ti_leaves_free (struct ti_leaves *l)
{
  free (l->item);
  *l = (struct ti_leaves){ .item = NULL };
}

/* Text.  */

void
ti_leave_write (const struct ti_leave *leave, struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("\"server\":"));
  ti_json_put_string (out, zp_str_from (leave->server));
  zp_buf_printf (out, ",\"left_ms\":%" PRIu64, leave->left_ms);
}

bool
ti_leave_read (struct ti_leave *leave, struct json_object *root)
{
  struct zp_str server = ti_json_str (ti_json_get (root, "server"));

  *leave = (struct ti_leave){ .at = 0 };
  return server.len > 0
         && zp_str_copy (leave->server, sizeof leave->server, server)
         && ti_json_u64 (ti_json_get (root, "left_ms"), &leave->left_ms);
}

void
ti_leaves_write (const struct ti_leaves *l, struct zp_buf *out)
{
  if (l->len == 0)
    return;
  zp_buf_put (out, ZP_STR (",\"leaves\":["));
  for (size_t i = 0; i < l->len; i++)
    {
      zp_buf_put (out, i > 0 ? ZP_STR (",{") : ZP_STR ("{"));
      ti_leave_write (&l->item[i], out);
      zp_buf_printf (out, ",\"at\":%" PRId64 "}", l->item[i].at);
    }
  zp_buf_put (out, ZP_STR ("]"));
}

bool
ti_leaves_read (struct ti_leaves *l, struct json_object *root)
{
  struct json_object *list = ti_json_get (root, "leaves");
  size_t n = 0;

  if (!list)
    return true;
  if (!json_object_is_type (list, json_type_array))
    return false;
  n = json_object_array_length (list);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *o = json_object_array_get_idx (list, i);
      struct ti_leave x;
      uint64_t at;
      if (!ti_leave_read (&x, o) || !ti_json_u64 (ti_json_get (o, "at"), &at))
        return false;
      x.at = (zp_time) at;
      ti_leaves_put (l, &x);
    }
  return true;
}
