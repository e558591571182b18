#include "front/target.h"

bool
fr_target_is_valid (struct zp_str target)
{
  for (size_t i = 0; i < target.len; i++)
    {
      unsigned char c = (unsigned char) target.ptr[i];
      if (c <= ' ' || c == 0x7f)
        return false;
    }
  return target.len > 0 && target.ptr[0] == '/';
}
