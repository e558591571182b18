#include "entry/settings.h"

#include "base/limits.h"
#include "base/log.h"
#include "wire/address.h"

#define FIELD(f) offsetof (struct en_settings, f)

static const struct zp_setting table[] = {
  { .key = "id",
    .kind = ZP_SETTING_INT,
    .required = true,
    .offset = FIELD (id),
    .min = 1,
    .max = INT32_MAX },
  { .key = "failure_domain",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (failure_domain) },
  { .key = "region",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (region) },
  { .key = "http",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (http) },
  { .key = "wire",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (wire) },
  { .key = "wire_listen",
    .kind = ZP_SETTING_TEXT,
    .offset = FIELD (wire_listen) },
  { .key = "relay", .kind = ZP_SETTING_TEXT, .offset = FIELD (relay) },
  { .key = "seeds", .kind = ZP_SETTING_LIST, .offset = FIELD (seeds) },
  { .key = "follow",
    .kind = ZP_SETTING_LIST,
    .required = true,
    .offset = FIELD (follow) },
  { .key = "data", .kind = ZP_SETTING_TEXT, .offset = FIELD (data) },
  { .key = "log_level",
    .kind = ZP_SETTING_INT,
    .offset = FIELD (log_level),
    .min = ZP_LOG_ERR,
    .max = ZP_LOG_DEBUG },
  { .key = NULL },
};

static void
check_name (struct zp_report *r, const char *path, const char *key,
            struct zp_str name)
{
  if (name.len == 0 || name.len >= ZP_NAME_MAX)
    zp_report_add (r, "%s: \"%s\": found \"%.*s\", allowed: 1 to %d bytes",
                   path, key, ZP_ARG (name), ZP_NAME_MAX - 1);
}

bool
en_settings_load (struct en_settings *s, const char *path,
                  struct zp_report *report)
{
  *s = (struct en_settings){ .log_level = ZP_LOG_INFO };
  if (!zp_settings_load (&s->file, path, table, s, report))
    return false;
  check_name (report, path, "failure_domain", s->failure_domain);
  check_name (report, path, "region", s->region);
  wi_address_check (s->http, path, "http", report);
  wi_address_check (s->wire, path, "wire", report);
  if (s->wire_listen.len > 0)
    wi_address_check (s->wire_listen, path, "wire_listen", report);
  if (s->relay.len > 0)
    wi_address_check (s->relay, path, "relay", report);
  for (size_t i = 0; i < s->seeds.len; i++)
    wi_address_check (s->seeds.item[i], path, "seeds", report);
  for (size_t i = 0; i < s->follow.len; i++)
    wi_address_check (s->follow.item[i], path, "follow", report);
  return report->count == 0;
}

void
en_settings_free (struct en_settings *s)
{
  zp_settings_free (&s->file);
}
