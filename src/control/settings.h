/* NAME
     settings - the settings of a control daemon

   DESCRIPTION
       id       member id, never used again for other storage
       data     folder of the log and its snapshots
       address  "IP:port" of the replicated log
       http     "IP:port" of the operators' interface
       follow   "IP:port" for entry daemons that follow the configuration
       members  the voters of a new group, this one included, each
                "ID=ADDRESS,HTTP"; with "join" they are only used to find the
                leader's operators' interface
       join     true for a member that joins an existing group

     A deployment without an operator for the group gives these instead of
     "id", "members" and "join":

       seeds          operators' interfaces of some control daemons
       found          true on the first start of the whole deployment
       name, failure_domain, region  of this daemon
       ip, inner_port  address of this machine, and the first port of the inner
                      protocols (enum wi_port); they give "address", "follow"
                      and the address of the roster
       directory      "IP:port" for callers that ask for entry VMs
       server_report  period of the reports of one backend server
       lookup_ttl     how long callers may keep the answer

   RETURN VALUE
     ct_settings_load returns true when the report stayed empty.  */

#ifndef ZP_CONTROL_SETTINGS_H
#define ZP_CONTROL_SETTINGS_H

#include "base/settings.h"
#include "ledger/members.h"

struct ct_settings
{
  struct zp_settings file;
  int64_t id;
  struct zp_str data, address, http, follow;
  struct zp_strs members;
  bool join;

  struct zp_strs seeds;
  bool found;
  struct zp_str name, failure_domain, region;
  struct zp_str ip, roster, directory;
  int64_t inner_port;
  char inner[3][ZP_ADDRESS_MAX]; /* by enum wi_port */
  zp_time server_report, lookup_ttl;

  struct lg_members voters;
  struct zp_str voter_http[LG_MEMBERS_MAX]; /* in the order of VOTERS */
};

bool ct_settings_load (struct ct_settings *s, const char *path,
                       struct zp_report *report);
/* Sets id, voters and join of a daemon with seeds, from its data folder.  */
bool ct_settings_load_identity (struct ct_settings *s, struct zp_err *err);
void ct_settings_free (struct ct_settings *s);

#endif
