#include "roster/codec.h"

#include <stdlib.h>

#include "wire/address.h"
#include "wire/bytes.h"
#include "wire/roster.pb-c.h"

static ProtobufCBinaryData
text (const char *s)
{
  return wi_bytes (zp_str_from (s));
}

void
ro_put_hello (struct zp_buf *out, const struct tk_daemon *d, uint64_t acked)
{
  Wire__RosterHello w = WIRE__ROSTER_HELLO__INIT;

  w.kind = (uint32_t) d->kind;
  w.id = d->id;
  w.name = text (d->name);
  w.address = text (d->address);
  w.failure_domain = text (d->failure_domain);
  w.region = text (d->region);
  w.log = text (d->log_address);
  w.ready = d->ready;
  w.leaving = d->leaving;
  w.acked = acked;
  wi_pack (out, &w.base);
}

bool
ro_get_hello (struct zp_str payload, struct tk_daemon *out, uint64_t *acked)
{
  Wire__RosterHello *w = wi_unpack (&wire__roster_hello__descriptor, payload);

  if (!w)
    return false;
  *out = (struct tk_daemon){ .kind = (enum tk_daemon_kind) w->kind,
                             .id = w->id,
                             .ready = w->ready,
                             .leaving = w->leaving };
  *acked = w->acked;
  bool ok
      = w->kind <= TK_DAEMON_CONTROL
        && zp_str_copy (out->name, sizeof out->name, wi_view (w->name))
        && zp_str_copy (out->address, sizeof out->address,
                        wi_view (w->address))
        && zp_str_copy (out->failure_domain, sizeof out->failure_domain,
                        wi_view (w->failure_domain))
        && zp_str_copy (out->region, sizeof out->region, wi_view (w->region))
        && zp_str_copy (out->log_address, sizeof out->log_address,
                        wi_view (w->log));
  wi_free (w);
  return ok;
}

static void
put_server (Wire__RosterServer *w, const struct tk_server *s)
{
  wire__roster_server__init (w);
  w->id = text (s->id);
  w->born_ms = s->born_ms;
  w->seq = s->seq;
  w->service = text (s->service);
  w->address = text (s->address);
  w->failure_domain = text (s->failure_domain);
  w->slots = s->slots;
  w->state = (uint32_t) s->state;
  w->cold_us = s->cold > 0 ? (uint64_t) s->cold : 0;
  w->expired = s->expired;
  w->left_ms = s->left_ms;
}

void
ro_put_update (struct zp_buf *out, const struct ro_update *u)
{
  Wire__RosterUpdate w = WIRE__ROSTER_UPDATE__INIT;
  Wire__RosterServer *item = zp_alloc ((u->servers + 1) * sizeof *item);
  Wire__RosterServer **list
      = zp_alloc ((u->servers + 1) * sizeof (Wire__RosterServer *));
  ProtobufCBinaryData *control
      = zp_alloc ((u->controls + 1) * sizeof *control);
  uint64_t *renewed = zp_alloc ((u->renewals + 1) * sizeof *renewed);
  uint64_t *seqs = zp_alloc ((u->renewals + 1) * sizeof *seqs);

  for (size_t i = 0; i < u->renewals; i++)
    {
      renewed[i] = u->renewal[i].start;
      seqs[i] = u->renewal[i].seq;
    }
  for (size_t i = 0; i < u->servers; i++)
    {
      put_server (&item[i], &u->server[i]);
      list[i] = &item[i];
    }
  for (size_t i = 0; i < u->controls; i++)
    control[i] = wi_bytes (u->control[i]);
  w.number = u->number;
  w.n_servers = u->servers;
  w.servers = list;
  w.n_controls = u->controls;
  w.controls = control;
  w.entries = u->entries;
  w.n_renewed = w.n_renewed_seqs = u->renewals;
  w.renewed = renewed;
  w.renewed_seqs = seqs;
  wi_pack (out, &w.base);
  free (seqs);
  free (renewed);
  free (control);
  free (list);
  free (item);
}

/* Whether the fields of S that a request needs are usable.  A server that is
   gone needs none.  */
static bool
has_usable_fields (const struct tk_server *s)
{
  struct sockaddr_storage sa;
  socklen_t len;

  return s->state == TK_SERVER_GONE
         || (s->slots <= ZP_SERVER_SLOTS_MAX
             && wi_address_parse (zp_str_from (s->address), &sa, &len, NULL)
             && wi_address_is_host (&sa));
}

static bool
get_server (const Wire__RosterServer *w, struct tk_server *s)
{
  *s = (struct tk_server){ .slots = w->slots,
                           .state = (enum tk_server_state) w->state,
                           .cold = (zp_time) w->cold_us,
                           .born_ms = w->born_ms,
                           .seq = w->seq,
                           .expired = w->expired,
                           .left_ms = w->left_ms };
  return w->state <= TK_SERVER_GONE && w->cold_us < (uint64_t) ZP_NEVER / 2
         && zp_str_copy (s->id, sizeof s->id, wi_view (w->id))
         && zp_str_copy (s->service, sizeof s->service, wi_view (w->service))
         && zp_str_copy (s->address, sizeof s->address, wi_view (w->address))
         && zp_str_copy (s->failure_domain, sizeof s->failure_domain,
                         wi_view (w->failure_domain))
         && has_usable_fields (s);
}

bool
ro_get_update (struct zp_str payload, struct ro_update *out, void **owner)
{
  Wire__RosterUpdate *w
      = wi_unpack (&wire__roster_update__descriptor, payload);

  *out = (struct ro_update){ .number = 0 };
  *owner = w;
  if (!w || w->n_renewed != w->n_renewed_seqs)
    return false;
  struct tk_renewal *renewal = zp_alloc ((w->n_renewed + 1) * sizeof *renewal);
  struct tk_server *server = zp_alloc ((w->n_servers + 1) * sizeof *server);
  struct zp_str *control = zp_alloc ((w->n_controls + 1) * sizeof *control);
  out->number = w->number;
  out->entries = w->entries;
  out->server = server;
  out->control = control;
  out->renewal = renewal;
  out->renewals = w->n_renewed;
  for (size_t i = 0; i < w->n_renewed; i++)
    renewal[i] = (struct tk_renewal){ .start = w->renewed[i],
                                      .seq = w->renewed_seqs[i] };
  for (size_t i = 0; i < w->n_servers; i++)
    if (get_server (w->servers[i], &server[out->servers]))
      out->servers++;
    else
      out->unreadable++;
  for (size_t i = 0; i < w->n_controls; i++)
    control[out->controls++] = wi_view (w->controls[i]);
  return true;
}

void
ro_update_free (struct ro_update *u, void *owner)
{
  free ((void *) u->server);
  free ((void *) u->control);
  free ((void *) u->renewal);
  wi_free (owner);
}

void
ro_put_ack (struct zp_buf *out, uint64_t number)
{
  Wire__RosterAck w = WIRE__ROSTER_ACK__INIT;

  w.number = number;
  wi_pack (out, &w.base);
}

bool
ro_get_ack (struct zp_str payload, uint64_t *number)
{
  Wire__RosterAck *w = wi_unpack (&wire__roster_ack__descriptor, payload);

  if (!w)
    return false;
  *number = w->number;
  wi_free (w);
  return true;
}

void
ro_put_ping (struct zp_buf *out, const struct ro_ping *p)
{
  Wire__RosterPing w = WIRE__ROSTER_PING__INIT;

  w.fresh = p->fresh;
  w.leads = p->leads;
  w.region = wi_bytes (p->region);
  w.failure_domain = wi_bytes (p->failure_domain);
  wi_pack (out, &w.base);
}

bool
ro_get_ping (struct zp_str payload, bool *fresh, bool *leads, char *region,
             char *failure_domain)
{
  Wire__RosterPing *w = wi_unpack (&wire__roster_ping__descriptor, payload);

  if (!w)
    return false;
  *fresh = w->fresh;
  *leads = w->leads;
  bool ok = zp_str_copy (region, ZP_NAME_MAX, wi_view (w->region))
            && zp_str_copy (failure_domain, ZP_NAME_MAX,
                            wi_view (w->failure_domain));
  wi_free (w);
  return ok;
}

/* The age of a sample in milliseconds, rounded up: a sample must not count as
   made after a restart of its server that it precedes.  */
static uint32_t
age_ms (zp_time age)
{
  return age > 0 ? (uint32_t) ((age + ZP_MS - 1) / ZP_MS) : 0;
}

void
ro_put_work (struct zp_buf *out, const struct tk_work *work)
{
  Wire__RosterWork w = WIRE__ROSTER_WORK__INIT;
  size_t n = work->len, loads = work->loads;
  uint32_t *list = zp_alloc ((2 * n + 4 * loads + 1) * sizeof *list);

  w.servers = list;
  w.counts = w.servers + n;
  w.load_servers = w.counts + n;
  w.load_requests = w.load_servers + loads;
  w.load_paces = w.load_requests + loads;
  w.load_ages_ms = w.load_paces + loads;
  for (size_t i = 0; i < n; i++)
    {
      w.servers[i] = work->item[i].server;
      w.counts[i] = work->item[i].count;
    }
  for (size_t i = 0; i < loads; i++)
    {
      w.load_servers[i] = work->load[i].server;
      w.load_requests[i] = work->load[i].requests;
      w.load_paces[i] = work->load[i].pace;
      w.load_ages_ms[i] = age_ms (work->load[i].age);
    }
  w.n_servers = w.n_counts = n;
  w.n_load_servers = w.n_load_requests = loads;
  w.n_load_paces = w.n_load_ages_ms = loads;
  wi_pack (out, &w.base);
  free (list);
}

static bool
lists_match (const Wire__RosterWork *w)
{
  return w->n_servers == w->n_counts && w->n_load_servers == w->n_load_requests
         && w->n_load_servers == w->n_load_paces
         && w->n_load_servers == w->n_load_ages_ms;
}

bool
ro_get_work (struct zp_str payload, struct tk_work *out)
{
  Wire__RosterWork *w = wi_unpack (&wire__roster_work__descriptor, payload);

  *out = (struct tk_work){ .item = NULL };
  if (!w)
    return false;
  bool ok = lists_match (w);
  if (ok)
    {
      out->item = zp_alloc ((w->n_servers + 1) * sizeof *out->item);
      for (size_t i = 0; i < w->n_servers; i++)
        out->item[out->len++] = (struct tk_work_item){ .server = w->servers[i],
                                                       .count = w->counts[i] };
      out->load = zp_alloc ((w->n_load_servers + 1) * sizeof *out->load);
    }
  for (size_t i = 0; ok && i < w->n_load_servers; i++)
    {
      out->load[out->loads++]
          = (struct tk_work_load){ .server = w->load_servers[i],
                                   .requests = w->load_requests[i],
                                   .pace = w->load_paces[i],
                                   .age = w->load_ages_ms[i] * ZP_MS };
      ok = w->load_requests[i] <= 2 * ZP_SERVER_SLOTS_MAX
           && w->load_paces[i] <= ZP_SERVER_PACE_MAX;
    }
  wi_free (w);
  return ok;
}

void
ro_put_loss (struct zp_buf *out, const struct tk_loss *l)
{
  Wire__RosterLoss w = WIRE__ROSTER_LOSS__INIT;

  w.fingerprint = l->fingerprint;
  w.server = l->server;
  wi_pack (out, &w.base);
}

bool
ro_get_loss (struct zp_str payload, struct tk_loss *out)
{
  Wire__RosterLoss *w = wi_unpack (&wire__roster_loss__descriptor, payload);

  if (!w)
    return false;
  *out
      = (struct tk_loss){ .fingerprint = w->fingerprint, .server = w->server };
  wi_free (w);
  return true;
}
