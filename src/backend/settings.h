/* NAME
     settings - settings of zp-backend

   DESCRIPTION
     One process runs stub servers for one service, one at each of "addresses".
     Server N (from 1) has the id ID_PREFIX-N.  "entries" lists the entry VMs
     in order of preference.  "records" is the file of the run record (see
     backend/work.h).  */

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
  int64_t slots;        /* requests that a server runs at once */
  int64_t answer_bytes; /* after the first line of the body */
  int64_t leave_ms;     /* shortest time from leaving to the stop */
  int64_t seed, log_level;
  int64_t service_us;      /* mean service time of a warm server */
  int64_t spread_percent;  /* standard deviation, of the mean; 0: constant */
  int64_t cold_ms;         /* time from the start until the server is warm */
  int64_t cold_percent;    /* service time at the start; 100: as when warm */
  int64_t report_delay_ms; /* age of the reported load */
  int64_t report_error_percent; /* largest error of the reported load */
};

/* Adds each fault to REPORT.  Returns whether there is none.  */
bool be_settings_load (struct be_settings *s, const char *path,
                       struct zp_report *report);

#endif
