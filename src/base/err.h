/* NAME
     err - error value of functions that can fail, and list of errors

   DESCRIPTION
     A function that can fail takes a pointer to a struct zp_err as its last
     argument.  On failure it fills the struct and returns false or NULL.  The
     caller owns the struct, and passes NULL when it does not need the reason.

     A struct zp_report collects all mistakes of one input (a settings file, a
     ticket), so that its author sees all of them at once.  */

#ifndef ZP_BASE_ERR_H
#define ZP_BASE_ERR_H

#include "base/str.h"

enum zp_err_code
{
  ZP_OK,
  ZP_EINVAL,    /* invalid input */
  ZP_ELIMIT,    /* a limit was exceeded */
  ZP_EIO,       /* a system call failed */
  ZP_ECORRUPT,  /* stored or received bytes are damaged */
  ZP_ECONFLICT, /* a concurrent change was accepted first */
  ZP_ENOTFOUND,
  ZP_EUNAVAIL, /* no leader, no quorum, no capacity */
};

struct zp_err
{
  enum zp_err_code code;
  char text[256]; /* for people; terminated */
};

struct zp_report
{
  struct zp_buf lines; /* one line for each mistake */
  size_t count;        /* of lines */
};

/* Fills ERR, unless it is NULL, and returns false, so that a caller can write
   "return zp_fail (...)".  A text that does not fit is cut.  */
bool zp_fail (struct zp_err *err, enum zp_err_code code, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Adds one line; FMT has no newline at its end.  */
void zp_report_add (struct zp_report *r, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void zp_report_free (struct zp_report *r);

#endif
