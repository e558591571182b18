/* NAME
     settings - the settings of a control daemon

   DESCRIPTION
       id       id of this member of the log; a new data folder needs a new id
       data     folder of the log and its snapshots
       address  "IP:port" of the replicated log
       http     "IP:port" of the operators' interface
       follow   "IP:port" for entry daemons that follow the configuration
       members  the voters of a new group, including this one, each
                "ID=ADDRESS,HTTP"; with "join" they are only used to find the
                operators' interface of the leader
       join     true for a member that joins an existing group

     A deployment in which no operator assigns ids and members has these
     settings in place of "id", "members" and "join":

       seeds          "IP:port" of the operators' interfaces of some control
                      daemons, by which this daemon finds the group
       found          true on the first start of the whole deployment: the
                      seeds found a new group
       name, failure_domain, region  of this daemon
       ip, inner_port  address of this machine, and the first port of the inner
                      protocols (enum wi_port); "address", "follow" and the
                      address of the roster are derived from them
       directory      "IP:port" at which callers look up entry VMs
       server_report  interval between the reports of one backend server
       lookup_ttl     how long callers can cache the result of a lookup

   RETURN VALUE
     ct_settings_load returns true when it has added nothing to the report.
     ct_settings_load_identity returns false and fills ERR when the data folder
     cannot be used (identity.h).  */

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
  char inner[3][ZP_ADDRESS_MAX]; /* derived addresses, by enum wi_port */
  zp_time server_report, lookup_ttl;

  struct lg_members voters;
  struct zp_str voter_http[LG_MEMBERS_MAX]; /* in the order of VOTERS */
};

bool ct_settings_load (struct ct_settings *s, const char *path,
                       struct zp_report *report);

/* For a daemon with seeds: sets id, voters and join to those that its data
   folder has or, on the first start, gets.  */
bool ct_settings_load_identity (struct ct_settings *s, struct zp_err *err);
void ct_settings_free (struct ct_settings *s);

#endif
