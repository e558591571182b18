#include "backend/settings.h"

#include "base/limits.h"
#include "wire/address.h"

#define FIELD(name, kind, need, low, high)                                    \
  {                                                                           \
#name, kind, need, offsetof(struct be_settings, name), low, high, NULL    \
  }
#define INT(name, low, high) FIELD (name, ZP_SETTING_INT, false, low, high)

static const struct zp_setting table[] = {
  FIELD (service, ZP_SETTING_TEXT, true, 0, 0),
  FIELD (id_prefix, ZP_SETTING_TEXT, true, 0, 0),
  FIELD (records, ZP_SETTING_TEXT, true, 0, 0),
  FIELD (failure_domain, ZP_SETTING_TEXT, true, 0, 0),
  FIELD (addresses, ZP_SETTING_LIST, true, 0, 0),
  FIELD (entries, ZP_SETTING_LIST, true, 0, 0),
  INT (slots, 1, 1000),
  INT (service_us, 1, 60000000),
  INT (spread_percent, 0, 300),
  INT (cold_ms, 0, 60000),
  INT (cold_percent, 100, 2000),
  INT (report_delay_ms, 0, 7500),
  INT (report_error_percent, 0, 100),
  INT (answer_bytes, 0, ZP_ANSWER_BODY_MAX / 2),
  INT (leave_ms, 0, 8000),
  INT (seed, 0, UINT32_MAX),
  INT (log_level, 3, 7),
  { .key = NULL },
};

static void
check_addresses (const char *path, const char *key, const struct zp_strs *list,
                 size_t max, struct zp_report *report)
{
  if (list->len < 1 || list->len > max)
    zp_report_add (report, "%s: \"%s\": found %zu, allowed: 1 to %zu", path,
                   key, list->len, max);
  for (size_t i = 0; i < list->len; i++)
    wi_address_check (list->item[i], path, key, report);
}

bool
be_settings_load (struct be_settings *s, const char *path,
                  struct zp_report *report)
{
  *s = (struct be_settings){ .slots = 4,
                             .service_us = 20000,
                             .spread_percent = 50,
                             .cold_percent = 100,
                             .leave_ms = 2200,
                             .seed = 1,
                             .log_level = 5 };
  if (!zp_settings_load (&s->loaded, path, table, s, report))
    return false;
  check_addresses (path, "addresses", &s->addresses, BE_SERVERS_MAX, report);
  check_addresses (path, "entries", &s->entries, BE_ENTRIES_MAX, report);
  if (s->id_prefix.len > ZP_NAME_MAX - 8 || s->service.len >= ZP_NAME_MAX)
    zp_report_add (report, "%s: \"id_prefix\" or \"service\" is too long",
                   path);
  return report->count == 0;
}
