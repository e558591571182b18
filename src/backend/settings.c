#include "backend/settings.h"

#include "base/limits.h"
#include "wire/address.h"

#define TEXT(name)                                                            \
  {                                                                           \
#name, ZP_SETTING_TEXT, true, offsetof(struct be_settings, name), 0, 0,   \
        NULL                                                                  \
  }
#define INT(name, low, high)                                                  \
  {                                                                           \
#name, ZP_SETTING_INT, false, offsetof(struct be_settings, name), low,    \
        high, NULL                                                            \
  }

static const struct zp_setting table[] = {
  TEXT (service),
  TEXT (id_prefix),
  TEXT (address),
  TEXT (records),
  { "entries", ZP_SETTING_LIST, true, offsetof (struct be_settings, entries),
    0, 0, NULL },
  INT (count, 1, BE_SERVERS_MAX),
  INT (slots, 1, 1000),
  INT (service_us, 1, 60000000),
  INT (spread_percent, 0, 300),
  INT (cold_ms, 0, 60000),
  INT (cold_percent, 100, 2000),
  INT (report_delay_ms, 0, 7500),
  INT (report_error_percent, 0, 100),
  INT (answer_bytes, 0, ZP_ANSWER_MAX / 2),
  INT (leave_ms, 0, 8000),
  INT (seed, 0, UINT32_MAX),
  INT (log_level, 3, 7),
  { .key = NULL },
};

bool
be_settings_load (struct be_settings *s, const char *path,
                  struct zp_report *report)
{
  struct sockaddr_storage sa;
  socklen_t len;
  struct zp_err err;

  *s = (struct be_settings){ .count = 1,
                             .slots = 4,
                             .service_us = 20000,
                             .spread_percent = 50,
                             .cold_percent = 100,
                             .leave_ms = 2200,
                             .seed = 1,
                             .log_level = 5 };
  if (!zp_settings_load (&s->loaded, path, table, s, report))
    return false;
  if (!wi_address_parse (s->address, &sa, &len, &err))
    zp_report_add (report, "%s: \"address\": %s", path, err.text);
  if (s->id_prefix.len > ZP_NAME_MAX - 8 || s->service.len >= ZP_NAME_MAX)
    zp_report_add (report,
                   "%s: \"id_prefix\" or \"service\" is longer than "
                   "%d bytes",
                   path, ZP_NAME_MAX - 8);
  if (s->entries.len < 1 || s->entries.len > BE_ENTRIES_MAX)
    zp_report_add (report, "%s: \"entries\": found %zu, allowed: 1 to %d",
                   path, s->entries.len, BE_ENTRIES_MAX);
  for (size_t i = 0; i < s->entries.len; i++)
    if (!wi_address_parse (s->entries.item[i], &sa, &len, &err))
      zp_report_add (report, "%s: \"entries\": %s", path, err.text);
  return report->count == 0;
}
