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

  struct lg_members voters;
  struct zp_str voter_http[LG_MEMBERS_MAX]; /* in the order of VOTERS */
};

bool ct_settings_load (struct ct_settings *s, const char *path,
                       struct zp_report *report);
void ct_settings_free (struct ct_settings *s);

#endif
