/* NAME
     settings - settings of an entry daemon that serves routed requests

   DESCRIPTION
       name, failure_domain, region  of this daemon
       front          "IP:port" for callers
       ready          "IP:port" for readiness checks and metrics
       seeds          "IP:port" of the operators' interfaces of some control
                      daemons
       inner_port     first port of the inner protocols (enum wi_port)
       regions        "FAILURE_DOMAIN=REGION" of all failure domains
       lookup_ttl     how long callers cache the address of this daemon
       retry_ratio    limit on the retries of all entry daemons together to a
                      service, as a fraction of its requests in 10 s
       retry_slack    number of retries allowed in addition to that fraction
       link_mbps      rate of this machine's link in Mbit/s; 0: no limit
       grace          time between SIGTERM and the kill of the process
       first_start    whether this daemon starts together with the whole
                      deployment; default true
       log_level      accepted and not used  */

#ifndef ZP_GATE_SETTINGS_H
#define ZP_GATE_SETTINGS_H

#include "base/settings.h"

struct gt_settings
{
  struct zp_settings file;
  struct zp_str name, failure_domain, region;
  struct zp_str front, ready;
  struct zp_strs seeds, regions;
  int64_t inner_port;
  zp_time lookup_ttl, grace;
  double link_mbps, retry_ratio, retry_slack;
  bool first_start;
  int64_t log_level;
  uint64_t id; /* IPv4 address of FRONT as a number in host byte order */
};

/* Reads the settings file PATH.  Adds every error to REPORT; returns true when
   there is none.  */
bool gt_settings_load (struct gt_settings *s, const char *path,
                       struct zp_report *report);
void gt_settings_free (struct gt_settings *s);

/* The region of a failure domain; empty when REGIONS lacks it.  */
struct zp_str gt_settings_region (const struct gt_settings *s,
                                  struct zp_str failure_domain);

#endif
