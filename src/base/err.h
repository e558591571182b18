/* NAME
     err - error value that is passed down to functions that can fail

   DESCRIPTION
     A function that can fail takes a struct zp_err as its last argument and
     returns false (or NULL) after it has filled it.  Callers own the struct;
     a NULL pointer means that the caller does not want the reason.

     A struct zp_report collects every mistake of one input (settings, a
     ticket), so that all of them are reported at once.  */

#ifndef ZP_BASE_ERR_H
#define ZP_BASE_ERR_H

#include "base/str.h"

enum zp_err_code
{
  ZP_OK,
  ZP_EINVAL,    /* input that breaks a stated rule */
  ZP_ELIMIT,    /* a stated limit was passed */
  ZP_EIO,       /* the operating system refused or failed */
  ZP_ECORRUPT,  /* stored or received bytes fail their check */
  ZP_ECONFLICT, /* another change was first */
  ZP_ENOTFOUND,
  ZP_EUNAVAIL, /* no leader, no quorum, no capacity */
};

struct zp_err
{
  enum zp_err_code code;
  char text[256];
};

struct zp_report
{
  struct zp_buf lines; /* one mistake a line */
  size_t count;
};

/* Fills ERR and returns false, so that "return zp_fail (...)" works.  */
bool zp_fail (struct zp_err *err, enum zp_err_code code, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

void zp_report_add (struct zp_report *r, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void zp_report_free (struct zp_report *r);

#endif
