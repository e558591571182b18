#include "gate/settings.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include "base/log.h"
#include "wire/address.h"

#define FIELD(f) offsetof (struct gt_settings, f)
#define PORT_MAX 65535
#define RETRY_SLACK_MAX 1000000 /* catches typing errors */

static const struct zp_setting table[] = {
  { .key = "name",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (name) },
  { .key = "failure_domain",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (failure_domain) },
  { .key = "region",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (region) },
  { .key = "front",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (front) },
  { .key = "ready",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (ready) },
  { .key = "seeds",
    .kind = ZP_SETTING_LIST,
    .required = true,
    .offset = FIELD (seeds) },
  { .key = "regions",
    .kind = ZP_SETTING_LIST,
    .required = true,
    .offset = FIELD (regions) },
  { .key = "inner_port",
    .kind = ZP_SETTING_INT,
    .required = true,
    .offset = FIELD (inner_port),
    .min = 1,
    .max = PORT_MAX },
  { .key = "lookup_ttl",
    .kind = ZP_SETTING_DURATION,
    .required = true,
    .offset = FIELD (lookup_ttl) },
  { .key = "grace",
    .kind = ZP_SETTING_DURATION,
    .required = true,
    .offset = FIELD (grace) },
  { .key = "retry_ratio",
    .kind = ZP_SETTING_REAL,
    .required = true,
    .offset = FIELD (retry_ratio),
    .min = 0,
    .max = 1 },
  { .key = "retry_slack",
    .kind = ZP_SETTING_REAL,
    .required = true,
    .offset = FIELD (retry_slack),
    .min = 0,
    .max = RETRY_SLACK_MAX },
  { .key = "link_mbps",
    .kind = ZP_SETTING_REAL,
    .offset = FIELD (link_mbps),
    .min = 0,
    .max = 1000000 },
  { .key = "first_start",
    .kind = ZP_SETTING_BOOL,
    .offset = FIELD (first_start) },
  { .key = "log_level",
    .kind = ZP_SETTING_INT,
    .offset = FIELD (log_level),
    .min = ZP_LOG_ERR,
    .max = ZP_LOG_DEBUG },
  { .key = NULL },
};

static uint64_t
ipv4_number (struct zp_str address)
{
  struct sockaddr_storage sa;
  struct sockaddr_in in;
  socklen_t len;

  if (!wi_address_parse (address, &sa, &len, NULL) || sa.ss_family != AF_INET)
    return 0;
  memcpy (&in, &sa, sizeof in);
  return ntohl (in.sin_addr.s_addr);
}

bool
gt_settings_load (struct gt_settings *s, const char *path,
                  struct zp_report *report)
{
  struct zp_str domain, region;

  *s = (struct gt_settings){ .first_start = true, .log_level = ZP_LOG_INFO };
  if (!zp_settings_load (&s->file, path, table, s, report))
    return false;
  wi_address_check (s->front, path, "front", report);
  wi_address_check (s->ready, path, "ready", report);
  for (size_t i = 0; i < s->seeds.len; i++)
    wi_address_check (s->seeds.item[i], path, "seeds", report);
  for (size_t i = 0; i < s->regions.len; i++)
    if (!zp_str_split (s->regions.item[i], '=', &domain, &region))
      zp_report_add (report,
                     "%s: \"regions\": found \"%.*s\", allowed: "
                     "\"FAILURE_DOMAIN=REGION\"",
                     path, ZP_ARG (s->regions.item[i]));
  s->id = ipv4_number (s->front);
  if (s->id == 0)
    zp_report_add (report,
                   "%s: \"front\": found \"%.*s\", allowed: an IPv4 "
                   "address and a port",
                   path, ZP_ARG (s->front));
  return report->count == 0;
}

void
gt_settings_free (struct gt_settings *s)
{
  zp_settings_free (&s->file);
}

struct zp_str
gt_settings_region (const struct gt_settings *s, struct zp_str failure_domain)
{
  struct zp_str domain, region;

  for (size_t i = 0; i < s->regions.len; i++)
    if (zp_str_split (s->regions.item[i], '=', &domain, &region)
        && zp_str_eq (domain, failure_domain))
      return region;
  return ZP_STR ("");
}
