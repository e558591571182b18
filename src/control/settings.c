#include "control/settings.h"

#include <inttypes.h>

#include "wire/address.h"

#define FIELD(f) offsetof (struct ct_settings, f)

static const struct zp_setting table[] = {
  { .key = "id",
    .kind = ZP_SETTING_INT,
    .required = true,
    .offset = FIELD (id),
    .min = 1,
    .max = INT64_MAX },
  { .key = "data",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (data) },
  { .key = "address",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (address) },
  { .key = "http",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (http) },
  { .key = "follow", .kind = ZP_SETTING_TEXT, .offset = FIELD (follow) },
  { .key = "members",
    .kind = ZP_SETTING_LIST,
    .required = true,
    .offset = FIELD (members) },
  { .key = "join", .kind = ZP_SETTING_BOOL, .offset = FIELD (join) },
  { .key = NULL },
};

static void
read_member (struct ct_settings *s, const char *path, struct zp_str text,
             struct zp_report *report)
{
  struct zp_str id, rest, address, http;
  uint64_t n;

  if (!zp_str_split (text, '=', &id, &rest)
      || !zp_str_split (rest, ',', &address, &http) || !zp_str_u64 (id, &n)
      || n == 0 || n > INT64_MAX)
    {
      zp_report_add (report,
                     "%s: \"members\": found \"%.*s\", allowed: "
                     "\"ID=ADDRESS,HTTP\"",
                     path, ZP_ARG (text));
      return;
    }
  wi_address_check (address, path, "members", report);
  wi_address_check (http, path, "members", report);
  if (lg_members_find (&s->voters, n))
    {
      zp_report_add (report,
                     "%s: \"members\": found id %" PRIu64 " twice, allowed: "
                     "once",
                     path, n);
      return;
    }
  size_t at = s->voters.len;
  if (!lg_members_put (&s->voters, n, true, address))
    zp_report_add (report,
                   "%s: \"members\": found too many members, allowed: %d",
                   path, LG_MEMBERS_MAX);
  else
    s->voter_http[at] = http;
}

static void
check_own (const struct ct_settings *s, const char *path,
           struct zp_report *report)
{
  const struct lg_member *own = lg_members_find (&s->voters, (uint64_t) s->id);

  if (s->join && own)
    zp_report_add (report,
                   "%s: \"members\": found the own id with \"join\", allowed: "
                   "the ids of other members",
                   path);
  else if (!s->join && !own)
    zp_report_add (report,
                   "%s: \"members\": found no member with the own id %" PRId64
                   ", allowed: all voters, or \"join\": true",
                   path, s->id);
  else if (own && !zp_str_eq (zp_str_from (own->address), s->address))
    zp_report_add (report,
                   "%s: \"address\": found \"%.*s\", allowed: \"%s\" as in "
                   "\"members\"",
                   path, ZP_ARG (s->address), own->address);
}

bool
ct_settings_load (struct ct_settings *s, const char *path,
                  struct zp_report *report)
{
  *s = (struct ct_settings){ .id = 0 };
  if (!zp_settings_load (&s->file, path, table, s, report))
    return false;
  if (s->data.len == 0)
    zp_report_add (report, "%s: \"data\": found \"\", allowed: a folder",
                   path);
  wi_address_check (s->address, path, "address", report);
  wi_address_check (s->http, path, "http", report);
  if (s->follow.len > 0)
    wi_address_check (s->follow, path, "follow", report);
  for (size_t i = 0; i < s->members.len; i++)
    read_member (s, path, s->members.item[i], report);
  check_own (s, path, report);
  return report->count == 0;
}

void
ct_settings_free (struct ct_settings *s)
{
  zp_settings_free (&s->file);
}
