#include "load/lookup.h"

#include <json-c/json.h>

#include "base/settings.h"

/* A younger answer is kept after a failed send.  Else a failing entry VM would
   cause a look-up for each request.  */
#define LOOKUP_MIN_AGE (200 * ZP_MS)
#define TTL_MIN_MS 100 /* a shorter ttl would cause endless look-ups */

static struct zp_str
text_of (struct json_object *o, const char *key)
{
  struct json_object *v = NULL;

  if (!json_object_object_get_ex (o, key, &v)
      || !json_object_is_type (v, json_type_string))
    return (struct zp_str){ .ptr = NULL };
  return zp_str_from (json_object_get_string (v));
}

bool
lo_lookup_parse (struct lo_lookup *l, struct zp_str body, zp_time now)
{
  struct json_object *list = NULL, *ttl = NULL;
  struct json_object *o = zp_json_parse (body, NULL);

  l->entries = 0;
  if (json_object_object_get_ex (o, "entries", &list)
      && json_object_is_type (list, json_type_array))
    for (size_t i = 0;
         i < json_object_array_length (list) && l->entries < LO_ENTRIES_MAX;
         i++)
      l->entries += zp_str_copy (
          l->entry[l->entries], ZP_ADDRESS_MAX,
          text_of (json_object_array_get_idx (list, i), "address"));
  json_object_object_get_ex (o, "ttl_ms", &ttl);
  zp_buf_clear (&l->once_home);
  zp_buf_put (&l->once_home, text_of (o, "once_home"));
  int64_t ms = json_object_get_int64 (ttl);
  l->received = now;
  l->valid_until
      = l->entries > 0 ? now + (ms > TTL_MIN_MS ? ms : TTL_MIN_MS) * ZP_MS : 0;
  json_object_put (o);
  return l->entries > 0;
}

void
lo_lookup_invalidate (struct lo_lookup *l, zp_time now)
{
  if (now - l->received > LOOKUP_MIN_AGE)
    l->valid_until = 0;
}
