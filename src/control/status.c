#include "control/status.h"

#include <inttypes.h>
#include <stdio.h>

const char *
ct_role_name (enum lg_role role)
{
  switch (role)
    {
    case LG_FOLLOWER:
      return "follower";
    case LG_PRE_CANDIDATE:
      return "pre-candidate";
    case LG_CANDIDATE:
      return "candidate";
    case LG_LEADER:
      return "leader";
    case LG_STOPPED:
      return "stopped";
    }
  return "";
}

const char *
ct_stop_reason (enum lg_stop stop)
{
  switch (stop)
    {
    case LG_RUNNING:
      return NULL;
    case LG_STOP_DISK:
      return "a write to the data folder failed; it is tried again";
    case LG_STOP_STATE:
      return "a snapshot cannot be read; restart the member";
    case LG_STOP_WIPED:
      return "the storage of this member is lost; join with a new member id";
    }
  return NULL;
}

static struct zp_str
http_of (const struct ct_settings *s, const struct ti_config *config,
         uint64_t id)
{
  struct ti_key key = { .kind = TI_CONTROL };
  char text[24];

  snprintf (text, sizeof text, "%" PRIu64, id);
  ti_text_set (&key.name, zp_str_from (text));
  const struct ti_object *o = ti_config_find (config, &key);
  if (o)
    return ti_text_str (&o->u.control.http);
  for (size_t i = 0; i < s->voters.len; i++)
    if (s->voters.item[i].id == id)
      return s->voter_http[i];
  return ZP_STR ("");
}

struct ct_leadership
ct_leadership_of (const struct lg_status *s,
                  const struct ct_settings *settings,
                  const struct ti_config *config)
{
  struct ct_leadership out = { .kind = CT_NO_LEADER };

  if (s->current && s->lease)
    {
      out.kind = CT_LEADER;
      return out;
    }
  if (s->leader == 0 || s->leader == (uint64_t) settings->id)
    return out;
  out.leader_http = http_of (settings, config, s->leader);
  if (out.leader_http.len > 0)
    out.kind = CT_FOLLOWER;
  return out;
}

struct ct_leadership
ct_leadership_by_port (const struct lg_status *s,
                       const struct ct_settings *settings,
                       const struct lg_members *members, char *text,
                       size_t size)
{
  struct ct_leadership out = { .kind = CT_NO_LEADER };
  const struct lg_member *m = lg_members_find (members, s->leader);
  struct zp_str host, port, rest;

  if (s->current && s->lease)
    {
      out.kind = CT_LEADER;
      return out;
    }
  if (!m || s->leader == (uint64_t) settings->id)
    return out;
  zp_str_split (zp_str_from (m->address), ':', &host, &rest);
  zp_str_split (settings->http, ':', &rest, &port);
  snprintf (text, size, "%.*s:%.*s", ZP_ARG (host), ZP_ARG (port));
  out.kind = CT_FOLLOWER;
  out.leader_http = zp_str_from (text);
  return out;
}

struct ct_status_report
ct_status_report_of (const struct lg_status *s,
                     const struct ct_settings *settings,
                     const struct lg_members *members,
                     struct ct_member *member)
{
  for (size_t i = 0; i < members->len; i++)
    {
      const struct lg_member *m = &members->item[i];
      member[i] = (struct ct_member){ .id = m->id,
                                      .voter = m->voter,
                                      .address = zp_str_from (m->address) };
    }
  return (struct ct_status_report){ .id = (uint64_t) settings->id,
                                    .role = ct_role_name (s->role),
                                    .stopped = ct_stop_reason (s->stop),
                                    .leader = s->leader,
                                    .term = s->term,
                                    .commit = s->commit,
                                    .applied = s->applied,
                                    .member = member,
                                    .members = members->len };
}
