#include "control/settings.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>

#include "control/identity.h"
#include "wire/address.h"

#define FIELD(f) offsetof (struct ct_settings, f)

static const struct zp_setting table[] = {
  { .key = "id",
    .kind = ZP_SETTING_INT,
    .offset = FIELD (id),
    .min = 1,
    .max = INT64_MAX },
  { .key = "data",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (data) },
  { .key = "address", .kind = ZP_SETTING_TEXT, .offset = FIELD (address) },
  { .key = "http",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (http) },
  { .key = "follow", .kind = ZP_SETTING_TEXT, .offset = FIELD (follow) },
  { .key = "members", .kind = ZP_SETTING_LIST, .offset = FIELD (members) },
  { .key = "join", .kind = ZP_SETTING_BOOL, .offset = FIELD (join) },
  { .key = "seeds", .kind = ZP_SETTING_LIST, .offset = FIELD (seeds) },
  { .key = "found", .kind = ZP_SETTING_BOOL, .offset = FIELD (found) },
  { .key = "name", .kind = ZP_SETTING_TEXT, .offset = FIELD (name) },
  { .key = "failure_domain",
    .kind = ZP_SETTING_TEXT,
    .offset = FIELD (failure_domain) },
  { .key = "region", .kind = ZP_SETTING_TEXT, .offset = FIELD (region) },
  { .key = "ip", .kind = ZP_SETTING_TEXT, .offset = FIELD (ip) },
  { .key = "inner_port",
    .kind = ZP_SETTING_INT,
    .offset = FIELD (inner_port),
    .min = 1,
    .max = 65533 }, /* with two more ports after it (enum wi_port) */
  { .key = "directory", .kind = ZP_SETTING_TEXT, .offset = FIELD (directory) },
  { .key = "server_report",
    .kind = ZP_SETTING_DURATION,
    .offset = FIELD (server_report) },
  { .key = "lookup_ttl",
    .kind = ZP_SETTING_DURATION,
    .offset = FIELD (lookup_ttl) },
  { .key = NULL },
};

/* Adds the member in TEXT, "ID=ADDRESS,HTTP", to the voters.  */
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

/* Checks that this daemon is a voter with its own address, or joins and is
   none.  */
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

/* Checks an address that need not be given.  */
static void
check_address (struct zp_str address, const char *path, const char *key,
               struct zp_report *report)
{
  if (address.len > 0)
    wi_address_check (address, path, key, report);
}

/* "IP:port" of the inner protocol PORT.  */
static struct zp_str
inner_address (struct ct_settings *s, enum wi_port port)
{
  snprintf (s->inner[port], sizeof s->inner[port], "%.*s:%d", ZP_ARG (s->ip),
            (int) s->inner_port + (int) port);
  return zp_str_from (s->inner[port]);
}

static void
set_inner_addresses (struct ct_settings *s)
{
  if (s->inner_port == 0)
    return;
  s->address = inner_address (s, WI_PORT_LOG);
  s->follow = inner_address (s, WI_PORT_FOLLOW);
  s->roster = inner_address (s, WI_PORT_ROSTER);
}

/* Checks the settings of a daemon that finds its group by seeds.  */
static void
check_seeds (const struct ct_settings *s, const char *path,
             struct zp_report *report)
{
  assert (s->seeds.item);
  for (size_t i = 0; i < s->seeds.len; i++)
    wi_address_check (s->seeds.item[i], path, "seeds", report);
  check_address (s->roster, path, "ip", report);
  check_address (s->directory, path, "directory", report);
  if (s->id != 0 || s->members.len > 0)
    zp_report_add (report,
                   "%s: \"seeds\": found with \"id\" or \"members\", "
                   "allowed: either \"seeds\" or these",
                   path);
  if (s->inner_port == 0 || s->server_report <= 0)
    zp_report_add (report,
                   "%s: \"ip\", \"inner_port\", \"server_report\": missing, "
                   "required with \"seeds\"",
                   path);
}

static void
check_missing (bool missing, const char *path, const char *key,
               struct zp_report *report)
{
  if (missing)
    zp_report_add (report, "%s: \"%s\": missing, required", path, key);
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
  set_inner_addresses (s);
  wi_address_check (s->address, path, "address", report);
  wi_address_check (s->http, path, "http", report);
  if (s->follow.len > 0)
    wi_address_check (s->follow, path, "follow", report);
  if (s->seeds.len > 0)
    {
      check_seeds (s, path, report);
      return report->count == 0;
    }
  check_missing (s->id == 0, path, "id", report);
  check_missing (s->members.item == NULL, path, "members", report);
  if (report->count > 0 || !s->members.item)
    return false;
  for (size_t i = 0; i < s->members.len; i++)
    read_member (s, path, s->members.item[i], report);
  check_own (s, path, report);
  return report->count == 0;
}

bool
ct_settings_load_identity (struct ct_settings *s, struct zp_err *err)
{
  const struct ct_identity_options o = { .folder = s->data,
                                         .address = s->address,
                                         .http = s->http,
                                         .seeds = &s->seeds,
                                         .first_start = s->found,
                                         .wall = zp_clock_wall () };
  struct ct_identity x;

  if (s->seeds.len == 0)
    return true;
  if (!ct_identity_load (&o, &x, err))
    return false;
  s->id = (int64_t) x.id;
  s->voters = x.founders;
  s->join = x.founders.len == 0;
  return true;
}

void
ct_settings_free (struct ct_settings *s)
{
  zp_settings_free (&s->file);
}
