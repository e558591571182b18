/* NAME
     table - a list of JSON objects as lines of aligned columns

   DESCRIPTION
     zc_table_put writes a line of titles and one line for each object of LIST,
     or "none" when LIST is empty or not an array.  A member that an object
     lacks is written as "-".  Control characters of ASCII are written as "?",
     so that text from the network cannot send escape sequences to the
     terminal.  */

#ifndef ZP_CTL_TABLE_H
#define ZP_CTL_TABLE_H

#include "base/str.h"

struct json_object;

struct zc_column
{
  const char *title;
  const char *key; /* member of each object */
};

void zc_table_put (struct zp_buf *out, struct json_object *list,
                   const struct zc_column *columns, size_t n);

/* Appends the member KEY of OBJECT: a boolean as "yes" or "no", a fraction
   with 3 decimals, a missing member as "-", any other value as its text.  */
void zc_value_put (struct zp_buf *out, struct json_object *object,
                   const char *key);

#endif
