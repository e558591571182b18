#include "ticket/json.h"

#include <inttypes.h>
#include <math.h>

#define EXCERPT_MAX 80 /* bytes */

struct json_object *
ti_json_get (struct json_object *root, const char *key)
{
  struct json_object *v = NULL;

  json_object_object_get_ex (root, key, &v);
  return v;
}

struct zp_str
ti_json_str (struct json_object *v)
{
  if (!json_object_is_type (v, json_type_string))
    return ZP_STR ("");
  return (struct zp_str){ .ptr = json_object_get_string (v),
                          .len = (size_t) json_object_get_string_len (v) };
}

struct zp_str
ti_json_excerpt (struct json_object *v)
{
  struct zp_str s = zp_str_from (json_object_to_json_string_ext (
      v, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

  if (s.len <= EXCERPT_MAX)
    return s;
  s.len = EXCERPT_MAX;
  /* Do not split a UTF-8 sequence.  */
  while (s.len > 0 && ((unsigned char) s.ptr[s.len] & 0xc0) == 0x80)
    s.len--;
  return s;
}

struct zp_str
ti_json_outline (struct json_object *v)
{
  if (json_object_is_type (v, json_type_object))
    return ZP_STR ("an object");
  if (json_object_is_type (v, json_type_array))
    return ZP_STR ("a list");
  if (json_object_is_type (v, json_type_string))
    return ZP_STR ("a text");
  return ti_json_excerpt (v);
}

void
ti_json_put_string (struct zp_buf *out, struct zp_str s)
{
  struct json_object *v
      = json_object_new_string_len (s.ptr ? s.ptr : "", (int) s.len);

  zp_buf_put (
      out, zp_str_from (json_object_to_json_string_ext (
               v, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)));
  json_object_put (v);
}

static uint64_t
power_of_ten (unsigned digits)
{
  uint64_t p = 1;

  while (digits-- > 0)
    p *= 10;
  return p;
}

void
ti_json_put_decimal (struct zp_buf *out, uint64_t units, unsigned digits)
{
  uint64_t one = power_of_ten (digits);
  uint64_t rest = units % one;

  zp_buf_printf (out, "%" PRIu64, units / one);
  if (rest == 0)
    return;
  while (rest % 10 == 0)
    {
      rest /= 10;
      digits--;
    }
  zp_buf_printf (out, ".%0*" PRIu64, (int) digits, rest);
}

bool
ti_json_decimal (struct json_object *v, unsigned digits, uint32_t max,
                 uint32_t *units)
{
  if (!json_object_is_type (v, json_type_int)
      && !json_object_is_type (v, json_type_double))
    return false;
  double d = json_object_get_double (v) * (double) power_of_ten (digits);
  if (!isfinite (d) || d < 0 || d > (double) max + 0.5)
    return false;
  double whole = round (d);
  /* The tolerance allows for the rounding of decimal fractions to binary.  */
  if (fabs (d - whole) > 1e-3 || whole > (double) max)
    return false;
  *units = (uint32_t) whole;
  return true;
}

bool
ti_json_u64 (struct json_object *v, uint64_t *out)
{
  if (!json_object_is_type (v, json_type_int))
    return false;
  int64_t n = json_object_get_int64 (v);
  if (n < 0)
    return false;
  *out = (uint64_t) n;
  return true;
}
