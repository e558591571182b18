/* NAME
     target - whether the target of a request can be forwarded as it is

   DESCRIPTION
     Pure.  A target is forwarded byte for byte, so it must neither end the
     request line nor name another host.  Only the origin form is valid (RFC
     9112, 3.2.1): it begins with a slash.  Bytes that RFC 3986 excludes, but
     that cannot end a request line, are left to the backend server, as are
     those above 127.  */

#ifndef ZP_FRONT_TARGET_H
#define ZP_FRONT_TARGET_H

#include "base/str.h"

/* Whether TARGET begins with a slash and has neither spaces nor control
   bytes.  */
bool fr_target_is_valid (struct zp_str target);

#endif
