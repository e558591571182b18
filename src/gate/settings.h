/* NAME
     settings - settings of an entry daemon that steers routed requests

   DESCRIPTION
       name, failure_domain, region  of this daemon
       front          "IP:port" for callers
       ready          "IP:port" that says whether callers may come
       seeds          operators' interfaces of some control daemons
       inner_port     first port of the inner protocols (enum wi_port)
       regions        "FAILURE_DOMAIN=REGION" of all failure domains
       lookup_ttl     how long callers keep the address of this daemon
       retry_ratio    retries that all entry daemons together may send to a
                      service, as a part of its requests in 10 s
       retry_slack    and so many more
       link_mbps      rate of this machine's link; 0: not bounded
       grace          time between the request to stop and the kill  */

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
  int64_t log_level;
  uint64_t id; /* number of the front's IPv4 address */
};

/* Adds every mistake to REPORT; returns true when there is none.  */
bool gt_settings_load (struct gt_settings *s, const char *path,
                       struct zp_report *report);
void gt_settings_free (struct gt_settings *s);

/* The region of a failure domain; empty when it is not named.  */
struct zp_str gt_settings_region (const struct gt_settings *s,
                                  struct zp_str failure_domain);

#endif
