#include "base/err.h"

#include <stdio.h>

bool
zp_fail (struct zp_err *err, enum zp_err_code code, const char *fmt, ...)
{
  va_list ap;

  if (!err)
    return false;
  err->code = code;
  va_start (ap, fmt);
  vsnprintf (err->text, sizeof err->text, fmt, ap);
  va_end (ap);
  return false;
}

void
zp_report_add (struct zp_report *r, const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  zp_buf_vprintf (&r->lines, fmt, ap);
  va_end (ap);
  zp_buf_put (&r->lines, ZP_STR ("\n"));
  r->count++;
}

void
zp_report_free (struct zp_report *r)
{
  zp_buf_free (&r->lines);
  r->count = 0;
}
