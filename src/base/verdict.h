/* NAME
     verdict - whether a request may have run on a backend server

   DESCRIPTION
     ZP_NOT_RUN is a guarantee: either no byte of the request can have reached
     a backend server, or the backend server has answered that it did not run
     the request.  Such a request can be sent again without harm.  */

#ifndef ZP_BASE_VERDICT_H
#define ZP_BASE_VERDICT_H

#include "base/str.h"

enum zp_verdict
{
  ZP_NOT_RUN,
  ZP_MAY_HAVE_RUN,
  ZP_RAN,
};

/* The value of the Run-Verdict header.  */
const char *zp_verdict_name (enum zp_verdict v);

/* Parses the value of a Run-Verdict header.  Returns false for other text.  */
bool zp_verdict_parse (struct zp_str s, enum zp_verdict *out);

#endif
