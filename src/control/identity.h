/* NAME
     identity - the member id of a control daemon that was given none

   DESCRIPTION
     A group without an operator is founded by the daemons that the settings
     name as seeds, on the first start of the whole deployment.  A founder has
     the number of its IPv4 address as id.  Every other daemon, and one that
     starts with an empty data folder later, takes an id that was never used
     before: the number of its address and the second of its first start.  So a
     daemon that has lost its storage is never taken for the one that it was.

     The id, and for a founder the group that it founds, is synced to the file
     CT_IDENTITY_FILE of the data folder before it is used.  A restart reads it
     from there, whatever the settings say by then.

   ERRORS
     ZP_EIO when the data folder cannot be used, ZP_ECORRUPT when the file
     cannot be read.  */

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
  const struct zp_strs *seeds; /* as HTTP */
  bool first_start; /* the whole deployment starts for the first time */
  zp_time wall;
};

struct ct_identity
{
  uint64_t id;
  struct lg_members founders; /* empty: this member joins */
};

bool ct_identity_load (const struct ct_identity_options *o,
                       struct ct_identity *out, struct zp_err *err);

#endif
