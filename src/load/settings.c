#include "load/settings.h"

#include "wire/address.h"

#define FIELD(name, low, high)                                                \
  {                                                                           \
#name, offsetof(struct lo_service, name), low, high                       \
  }

static const struct
{
  const char *key;
  size_t offset;
  uint64_t min, max;
} fields[] = {
  FIELD (once, 0, 1),
  FIELD (rate, 0, 20000),
  FIELD (burst, 0, 10000),
  FIELD (burst_every_ms, 1, 60000),
  FIELD (burst_ms, 1, 10000),
  FIELD (deadline_ms, 10, 60000),
  FIELD (patience_ms, 0, 60000),
  FIELD (tries, 1, LO_TRIES_MAX),
  FIELD (body_bytes, 0, ZP_BODY_MAX),
  FIELD (crash_ms, 0, 60000),
};

static const struct zp_setting table[] = {
  { "entries", ZP_SETTING_LIST, true, offsetof (struct lo_settings, entries),
    0, 0, NULL },
  { "callers", ZP_SETTING_LIST, true, offsetof (struct lo_settings, callers),
    0, 0, NULL },
  { "services", ZP_SETTING_LIST, true,
    offsetof (struct lo_settings, service_texts), 0, 0, NULL },
  { "records", ZP_SETTING_TEXT, true, offsetof (struct lo_settings, records),
    0, 0, NULL },
  { "duration_ms", ZP_SETTING_INT, false,
    offsetof (struct lo_settings, duration_ms), 100, 600000, NULL },
  { "seed", ZP_SETTING_INT, false, offsetof (struct lo_settings, seed), 0,
    UINT32_MAX, NULL },
  { "log_level", ZP_SETTING_INT, false,
    offsetof (struct lo_settings, log_level), 3, 7, NULL },
  { .key = NULL },
};

static bool
set_field (struct lo_service *s, struct zp_str key, struct zp_str value)
{
  uint64_t n;

  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    if (zp_str_eq (key, zp_str_from (fields[i].key)))
      {
        if (!zp_str_u64 (value, &n) || n < fields[i].min || n > fields[i].max)
          return false;
        *(int64_t *) (void *) ((char *) s + fields[i].offset) = (int64_t) n;
        return true;
      }
  return false;
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
  if (word.len == 0 || !zp_str_copy (s->name, sizeof s->name, word))
    zp_report_add (report, "%s: \"services\": a name is missing or too long",
                   path);
  while (rest.len > 0)
    {
      zp_str_split (rest, ' ', &word, &rest);
      zp_str_split (word, '=', &key, &value);
      if (word.len > 0 && !set_field (s, key, value))
        zp_report_add (report,
                       "%s: \"services\": \"%.*s\": unknown key or number "
                       "out of range",
                       path, ZP_ARG (word));
    }
}

bool
lo_settings_load (struct lo_settings *s, const char *path,
                  struct zp_report *report)
{
  struct sockaddr_storage sa;
  socklen_t len;
  struct zp_err err;

  *s = (struct lo_settings){ .duration_ms = 10000, .seed = 1, .log_level = 5 };
  if (!zp_settings_load (&s->loaded, path, table, s, report))
    return false;
  for (size_t i = 0; i < s->entries.len; i++)
    if (!wi_address_parse (s->entries.item[i], &sa, &len, &err))
      zp_report_add (report, "%s: \"entries\": %s", path, err.text);
  if (s->entries.len == 0 || s->callers.len == 0
      || s->callers.len > LO_CALLERS_MAX || s->service_texts.len == 0
      || s->service_texts.len > LO_SERVICES_MAX)
    zp_report_add (report,
                   "%s: \"entries\" must not be empty, \"callers\" has 1 to "
                   "%d items, \"services\" 1 to %d",
                   path, LO_CALLERS_MAX, LO_SERVICES_MAX);
  for (; s->services < s->service_texts.len && report->count == 0;
       s->services++)
    read_service (&s->service[s->services], s->service_texts.item[s->services],
                  path, report);
  return report->count == 0;
}
