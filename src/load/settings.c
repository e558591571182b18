#include "load/settings.h"

#include "wire/address.h"

#define FIELD(name, low, high)                                                \
  {                                                                           \
#name, ZP_SETTING_INT, false, offsetof(struct lo_service, name), low,     \
        high, NULL                                                            \
  }
#define SETTING(name, kind, need, low, high)                                  \
  {                                                                           \
#name, kind, need, offsetof(struct lo_settings, name), low, high, NULL    \
  }

static const struct zp_setting fields[] = {
  FIELD (once, 0, 1),
  FIELD (rate, 0, 20000),
  FIELD (burst, 0, 10000),
  FIELD (burst_every_ms, 1, 60000),
  FIELD (burst_ms, 1, 10000),
  FIELD (deadline_ms, 10, 60000),
  FIELD (patience_ms, 0, 60000),
  FIELD (tries, 1, LO_TRIES_MAX),
  FIELD (body_bytes, 0, ZP_BODY_MAX / 2),
  FIELD (crash_ms, 0, 60000),
  { .key = NULL },
};

static const struct zp_setting table[] = {
  SETTING (entries, ZP_SETTING_LIST, true, 0, 0),
  SETTING (callers, ZP_SETTING_LIST, true, 0, 0),
  SETTING (services, ZP_SETTING_LIST, true, 0, 0),
  SETTING (records, ZP_SETTING_TEXT, true, 0, 0),
  SETTING (duration_ms, ZP_SETTING_INT, false, 100, 600000),
  SETTING (seed, ZP_SETTING_INT, false, 0, UINT32_MAX),
  SETTING (log_level, ZP_SETTING_INT, false, 3, 7),
  { .key = NULL },
};

static bool
set_field (struct lo_service *s, struct zp_str key, struct zp_str value)
{
  const struct zp_setting *f = fields;
  uint64_t n;

  while (f->key && !zp_str_eq (key, zp_str_from (f->key)))
    f++;
  if (!f->key || !zp_str_u64 (value, &n) || n < (uint64_t) f->min
      || n > (uint64_t) f->max)
    return false;
  *(int64_t *) (void *) ((char *) s + f->offset) = (int64_t) n;
  return true;
}

static void
read_service (struct lo_service *s, struct zp_str text, const char *path,
              struct zp_report *report)
{
  struct zp_str word, rest, key, value;

  *s = (struct lo_service){ .rate = 10,
                            .burst_every_ms = 1000,
                            .burst_ms = 10,
                            .deadline_ms = 2000,
                            .tries = 4 };
  zp_str_split (text, ' ', &word, &rest);
  if (!zp_str_copy (s->name, sizeof s->name, word))
    zp_report_add (report, "%s: \"services\": a name is too long", path);
  while (rest.len > 0)
    {
      zp_str_split (rest, ' ', &word, &rest);
      zp_str_split (word, '=', &key, &value);
      if (!set_field (s, key, value))
        zp_report_add (report,
                       "%s: \"services\": unknown key or value out of range: "
                       "%.*s",
                       path, ZP_ARG (word));
    }
}

bool
lo_settings_load (struct lo_settings *s, const char *path,
                  struct zp_report *report)
{
  *s = (struct lo_settings){ .duration_ms = 10000, .seed = 1, .log_level = 5 };
  if (!zp_settings_load (&s->loaded, path, table, s, report))
    return false;
  for (size_t i = 0; i < s->entries.len; i++)
    wi_address_check (s->entries.item[i], path, "entries", report);
  if (s->entries.len == 0 || s->callers.len == 0
      || s->callers.len > LO_CALLERS_MAX || s->services.len == 0
      || s->services.len > LO_SERVICES_MAX)
    zp_report_add (report,
                   "%s: allowed number of items: \"entries\" from 1, "
                   "\"callers\" 1 to %d, \"services\" 1 to %d",
                   path, LO_CALLERS_MAX, LO_SERVICES_MAX);
  for (size_t i = 0; i < s->services.len && report->count == 0; i++)
    read_service (&s->service[i], s->services.item[i], path, report);
  return report->count == 0;
}
