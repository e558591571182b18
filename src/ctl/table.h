/* NAME
     table - a list of JSON objects as lines of aligned columns

   DESCRIPTION
     zc_table_put writes a line of titles and one line for each object of
     LIST.  A value that an object does not have is "-".  Bytes below space are
     written as "?", so that a name from the network cannot control a
     terminal.  */

#ifndef ZP_CTL_TABLE_H
#define ZP_CTL_TABLE_H

#include "base/str.h"

struct json_object;

struct zc_column
{
  const char *title;
  const char *key;
};

void zc_table_put (struct zp_buf *out, struct json_object *list,
                   const struct zc_column *columns, size_t n);

/* The value of KEY as one word or text; "-" when there is none.  */
void zc_value_put (struct zp_buf *out, struct json_object *object,
                   const char *key);

#endif
