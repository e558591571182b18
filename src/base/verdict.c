#include "base/verdict.h"

const char *
zp_verdict_name (enum zp_verdict v)
{
  switch (v)
    {
    case ZP_NOT_RUN:
      return "not-run";
    case ZP_MAY_HAVE_RUN:
      return "may-have-run";
    case ZP_RAN:
      return "ran";
    }
  return "may-have-run";
}

bool
zp_verdict_parse (struct zp_str s, enum zp_verdict *out)
{
  for (int v = ZP_NOT_RUN; v <= ZP_RAN; v++)
    if (zp_str_eq (s, zp_str_from (zp_verdict_name ((enum zp_verdict) v))))
      {
        *out = (enum zp_verdict) v;
        return true;
      }
  return false;
}
