#include "control/roster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "control/calls.h"
#include "control/membership.h"
#include "roster/table.h"

#define PART "roster"

/* Addresses.  */

/* The port of "IP:port".  */
static unsigned
port_of (struct zp_str address)
{
  size_t n = address.len;
  uint64_t port = 0;

  while (n > 0 && address.ptr[n - 1] != ':')
    n--;
  zp_str_u64 (
      (struct zp_str){ .ptr = address.ptr + n, .len = address.len - n },
      &port);
  return (unsigned) port;
}

static struct tk_daemon
describe_self (const struct ct_settings *s)
{
  struct tk_daemon d
      = { .kind = TK_DAEMON_CONTROL, .id = (uint64_t) s->id, .ready = true };

  zp_str_copy (d.name, sizeof d.name, s->name);
  zp_str_copy (d.address, sizeof d.address, s->http);
  zp_str_copy (d.failure_domain, sizeof d.failure_domain, s->failure_domain);
  zp_str_copy (d.region, sizeof d.region, s->region);
  zp_str_copy (d.log_address, sizeof d.log_address, s->address);
  return d;
}

/* Sends the source the addresses of this control daemon and of the connected
   ones when the list has changed.  */
static void
send_controls (struct ct_roster *r, const struct ct_settings *s)
{
  struct zp_buf lines = { .ptr = NULL };

  zp_buf_printf (&lines, "%.*s\n", ZP_ARG (s->http));
  for (size_t i = 0; i < r->daemons.len; i++)
    {
      const struct tk_daemon *d = &r->daemons.item[i].info;
      if (d->kind == TK_DAEMON_CONTROL && !d->lost)
        zp_buf_printf (&lines, "%s\n", d->address);
    }
  if (zp_str_eq (zp_str_of (&lines), zp_str_of (&r->sent_controls)))
    {
      zp_buf_free (&lines);
      return;
    }
  zp_buf_clear (&r->sent_controls);
  zp_buf_put (&r->sent_controls, zp_str_of (&lines));
  struct tk_msg *m = tk_msg_new (TK_CONFIG_SOURCES);
  m->u.addresses.lines = lines;
  tk_send (ro_source_task (r->source), m);
}

/* Reports.  */

void
ct_roster_update_daemon (struct ct_roster *r, const struct tk_daemon *d)
{
  if (!ct_daemons_update (&r->daemons, d, zp_clock_mono ()))
    zp_log (ZP_LOG_ERR, PART,
            "daemon %s is ignored: the table of daemons is full", d->name);
}

void
ct_roster_report_settled (struct ct_roster *r, uint64_t report_id)
{
  for (size_t i = 0; i < r->waits; i++)
    if (r->wait[i].report_id == report_id)
      r->wait[i].settled = true;
}

/* Returns the report id of the new entry.  */
static uint64_t
add_wait (struct ct_roster *r, const struct tk_server *s,
          const struct tk_http_request *q)
{
  if (r->waits == r->wait_cap)
    {
      r->wait_cap = r->wait_cap > 0 ? 2 * r->wait_cap : 16;
      r->wait = zp_realloc (r->wait, r->wait_cap * sizeof *r->wait);
    }
  struct ct_report_wait *w = &r->wait[r->waits++];
  *w = (struct ct_report_wait){ .report_id = ++r->last_report_id,
                                .request_id = q->id,
                                .from = q->from,
                                .arrived = zp_clock_mono (),
                                .durable = s->state != TK_SERVER_GONE };
  w->leave.left_ms = ro_leave_bound (NULL, s, zp_clock_wall ());
  zp_str_copy (w->leave.server, sizeof w->leave.server, zp_str_from (s->id));
  return w->report_id;
}

bool
ct_roster_report (struct ct_roster *r, const struct tk_server *server,
                  const struct tk_http_request *q)
{
  struct tk_msg *m = tk_msg_new (TK_SERVER);
  bool deferred = ct_calls_defers_reply (server);

  m->u.server = *server;
  m->u.server.report_id = deferred ? add_wait (r, server, q) : 0;
  tk_send (ro_source_task (r->source), m);
  return !deferred;
}

bool
ct_roster_next_outcome (struct ct_roster *r, zp_time contact, zp_time now,
                        struct ct_report_wait *out, bool *acknowledged)
{
  for (size_t i = 0; i < r->waits; i++)
    {
      const struct ct_report_wait *w = &r->wait[i];
      *acknowledged = w->settled && w->durable && contact >= w->arrived;
      if (!*acknowledged && now - w->arrived < CT_REPORT_ACK_TIMEOUT)
        continue;
      *out = *w;
      r->wait[i] = r->wait[--r->waits];
      return true;
    }
  return false;
}

bool
ct_roster_next_leave (struct ct_roster *r, zp_time now, struct ti_leave *out)
{
  for (size_t i = 0; i < r->waits; i++)
    {
      struct ct_report_wait *w = &r->wait[i];
      if (w->durable
          || (w->proposed_at != 0 && now - w->proposed_at < CT_LEAVE_RETRY))
        continue;
      w->proposed_at = now;
      *out = w->leave;
      return true;
    }
  return false;
}

void
ct_roster_left (struct ct_roster *r, const struct ti_leave *leave)
{
  for (size_t i = 0; i < r->waits; i++)
    if (strcmp (r->wait[i].leave.server, leave->server) == 0
        && r->wait[i].leave.left_ms <= leave->left_ms)
      r->wait[i].durable = true;
  if (!r->source)
    return;
  struct tk_msg *m = tk_msg_new (TK_SERVER);
  m->u.server = (struct tk_server){ .state = TK_SERVER_GONE,
                                    .left_ms = leave->left_ms };
  zp_str_copy (m->u.server.id, sizeof m->u.server.id,
               zp_str_from (leave->server));
  tk_send (ro_source_task (r->source), m);
}

bool
ct_roster_step (struct ct_roster *r, const struct ct_settings *settings,
                const struct ct_replica *replica, zp_time now,
                struct lg_change *out)
{
  const struct lg_members *members = ct_replica_members (replica);

  if (!r->source)
    return false;
  ct_daemons_expire (&r->daemons, now);
  send_controls (r, settings);
  if (!ct_replica_has_lease (replica))
    {
      r->led_since = 0;
      return false;
    }
  if (r->led_since == 0)
    r->led_since = now;
  struct ct_membership_self self = { .id = (uint64_t) settings->id,
                                     .region = settings->region,
                                     .led_since = r->led_since };
  for (size_t i = 0; i < members->len; i++)
    self.silence[i] = ct_replica_silence (replica, members->item[i].id);
  return ct_membership_decide (members, &r->daemons, &self, now, out);
}

/* Set-up.  */

bool
ct_roster_open (struct ct_roster *r, struct tk_loop *l,
                const struct ct_settings *settings, struct tk_task *decider,
                struct zp_err *err)
{
  const struct ro_source_options source
      = { .address = settings->roster,
          .region = settings->region,
          .failure_domain = settings->failure_domain,
          .report_period = settings->server_report,
          .decider = decider };
  const struct ro_client_options client
      = { .self = describe_self (settings),
          .seeds = &settings->seeds,
          .roster_port = port_of (settings->roster),
          .follow_port = port_of (settings->follow),
          .decider = decider };

  r->source = ro_source_open (l, &source, err);
  if (!r->source)
    return false;
  r->client = ro_client_open (l, &client);
  ro_source_set_relay (r->source, ro_client_task (r->client));
  return true;
}

void
ct_roster_close (struct ct_roster *r)
{
  ro_source_close (r->source);
  ro_client_close (r->client);
  ct_daemons_free (&r->daemons);
  zp_buf_free (&r->sent_controls);
  free (r->wait);
}
