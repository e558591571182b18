/* NAME
     identity - the member id of a control daemon that has none in its settings

   DESCRIPTION
     A group that no operator sets up is founded by the daemons that the
     settings list as seeds, on the first start of the whole deployment.  The
     id of a founder is its IPv4 address as a number.  Every other daemon, and
     one that starts later with an empty data folder, takes an id that was
     never used before: its IPv4 address in the low 32 bits, and the time of
     its first start in seconds in the bits above.  So a daemon that has lost
     its storage is never mistaken for the member that it was before.

     The id, and for a founder the list of all founders, is written and synced
     to the file CT_IDENTITY_FILE of the data folder before it is used.  A
     restart reads them from that file and ignores the settings.

   ERRORS
     ZP_EINVAL when the address is not IPv4 or there are too many seeds, ZP_EIO
     when the data folder cannot be used, ZP_ECORRUPT when the file is not
     valid.  */

#ifndef ZP_CONTROL_IDENTITY_H
#define ZP_CONTROL_IDENTITY_H

#include "base/settings.h"
#include "ledger/members.h"

#define CT_IDENTITY_FILE "member.json"

struct ct_identity_options
{
  struct zp_str folder;        /* data folder */
  struct zp_str address;       /* "IPv4:port" of the replicated log */
  struct zp_str http;          /* "IPv4:port" of the operators' interface */
  const struct zp_strs *seeds; /* "IPv4:port" as in HTTP */
  bool first_start; /* the whole deployment starts for the first time */
  zp_time wall;     /* wall-clock time */
};

struct ct_identity
{
  uint64_t id;
  struct lg_members founders; /* empty: this member joins */
};

/* Reads the identity from the data folder, or makes and stores a new one.  */
bool ct_identity_load (const struct ct_identity_options *o,
                       struct ct_identity *out, struct zp_err *err);

#endif
