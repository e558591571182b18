/* NAME
     json - small helpers over json-c for the files of this package

   DESCRIPTION
     A view returned by ti_json_str lives as long as its JSON value.  */

#ifndef ZP_TICKET_JSON_H
#define ZP_TICKET_JSON_H

#include <json-c/json.h>

#include "base/err.h"

/* The member KEY of ROOT; NULL when ROOT has none or is no object.  */
struct json_object *ti_json_get (struct json_object *root, const char *key);

/* The empty view when V is not a string.  */
struct zp_str ti_json_str (struct json_object *v);

/* The plain text of V for a message, cut to a readable length.  */
struct zp_str ti_json_excerpt (struct json_object *v);

/* Appends S as a JSON string with quotes.  S has to be UTF-8.  */
void ti_json_put_string (struct zp_buf *out, struct zp_str s);

/* Appends UNITS / 10^DIGITS as a decimal number without trailing zeros.  */
void ti_json_put_decimal (struct zp_buf *out, uint64_t units, unsigned digits);

/* Reads a number of at most MAX / 10^DIGITS that has no further digits.  */
bool ti_json_decimal (struct json_object *v, unsigned digits, uint32_t max,
                      uint32_t *units);

/* Reads a whole number from 0 to 2^63-1.  */
bool ti_json_u64 (struct json_object *v, uint64_t *out);

#endif
