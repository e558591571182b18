/* NAME
     settings - settings of zp-backend

   DESCRIPTION
     One process stands in for the backend servers of one service at
     "addresses".  Server N (from 1) has the id ID_PREFIX-N.  The entry VMs are
     listed in order of preference.  */

#ifndef ZP_BACKEND_SETTINGS_H
#define ZP_BACKEND_SETTINGS_H

#include "base/settings.h"

#define BE_ENTRIES_MAX 16
#define BE_SERVERS_MAX 64

struct be_settings
{
  struct zp_settings loaded;
  struct zp_str service, id_prefix, records, failure_domain;
  struct zp_strs addresses, entries;
  int64_t slots, answer_bytes, leave_ms, seed, log_level;
  int64_t service_us;     /* mean time of a warm server */
  int64_t spread_percent; /* deviation of the time; 0: constant */
  int64_t cold_ms;
  int64_t cold_percent; /* service time right after the start; 100 is warm */
  int64_t report_delay_ms, report_error_percent;
};

bool be_settings_load (struct be_settings *s, const char *path,
                       struct zp_report *report);

#endif
