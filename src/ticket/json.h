/* NAME
     json - helper functions for json-c

   DESCRIPTION
     A string returned by ti_json_str or ti_json_excerpt is valid as long as
     its JSON value.

   RETURN VALUE
     ti_json_decimal and ti_json_u64 return false when V has another type or
     is out of range.  */

#ifndef ZP_TICKET_JSON_H
#define ZP_TICKET_JSON_H

#include <json-c/json.h>

#include "base/err.h"

/* Returns the member KEY of ROOT, or NULL when ROOT has no such member or is
   not an object.  */
struct json_object *ti_json_get (struct json_object *root, const char *key);

/* Returns the string V, empty when V is not a string.  */
struct zp_str ti_json_str (struct json_object *v);

/* Returns the JSON text of V for an error message, truncated to 80 bytes at
   a UTF-8 character boundary.  */
struct zp_str ti_json_excerpt (struct json_object *v);

/* As ti_json_excerpt, but names only the type of an object, a list or a text,
   because it may hold keys of workspaces.  */
struct zp_str ti_json_outline (struct json_object *v);

/* Appends S, which must be UTF-8, as a JSON string with quotes.  */
void ti_json_put_string (struct zp_buf *out, struct zp_str s);

/* Appends UNITS / 10^DIGITS as a decimal number without trailing zeros.  */
void ti_json_put_decimal (struct zp_buf *out, uint64_t units, unsigned digits);

/* Reads a number from 0 to MAX / 10^DIGITS with at most DIGITS decimals and
   stores it in units of 10^-DIGITS.  */
bool ti_json_decimal (struct json_object *v, unsigned digits, uint32_t max,
                      uint32_t *units);

/* Reads an integer from 0 to 2^63-1.  */
bool ti_json_u64 (struct json_object *v, uint64_t *out);

#endif
