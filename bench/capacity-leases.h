/* NAME
     capacity-leases - policy LEASES of bench-capacity, from src/steer
 */

#ifndef ZP_BENCH_CAPACITY_LEASES_H
#define ZP_BENCH_CAPACITY_LEASES_H

#include "capacity-model.h"

static void
send_grants (struct sim *s, unsigned from, struct st_grants *g)
{
  for (size_t i = 0; i < g->len; i++)
    {
      struct st_grant *copy = zp_alloc (sizeof *copy);

      *copy = g->item[i];
      push (s, s->now + daemon_latency (from, (unsigned) copy->to),
            (struct event){ .kind = GRANT_IN,
                            .d = (unsigned) copy->to,
                            .from = from,
                            .grant = copy });
    }
  st_grants_free (g);
}

/* Cancels the newest requests of daemon D at the server.  A cancelled request
   frees its slot, but runs to its end at the server, where later requests may
   then be counted as over capacity.  */
static void
cancel (struct sim *s, unsigned d, const struct st_action *o)
{
  unsigned left = o->u.cancel.count;
  unsigned server = server_number (o->u.cancel.server);

  for (size_t r = s->requests; r-- > 0 && left > 0;)
    if (s->request[r].daemon == d && s->request[r].server == server
        && !s->request[r].cancelled)
      {
        s->request[r].cancelled = true;
        refuse (s, (uint32_t) r);
        left--;
      }
}

static void
send_actions (struct sim *s, unsigned d, struct st_actions *actions)
{
  for (size_t i = 0; i < actions->len; i++)
    {
      struct st_action *o = &actions->item[i];
      struct event e = { .d = (unsigned) o->to, .from = d, .out = *o };

      switch (o->kind)
        {
        case ST_ACTION_REQUEST:
          e.kind = REQUEST_IN;
          o->u.request.keep = NULL; /* freed by the receiver */
          break;
        case ST_ACTION_RETURN:
          e.kind = RETURN_IN;
          break;
        case ST_ACTION_CANCEL:
          cancel (s, d, o);
          continue;
        }
      push (s, s->now + daemon_latency (d, e.d), e);
    }
  st_actions_free (actions);
}

/* Sends queued requests while slots are free, nearest servers first.  */
static void
serve_leases (struct sim *s, unsigned d, struct st_actions *actions)
{
  struct daemon *e = &s->daemon[d];

  while (e->queue.len > 0)
    {
      unsigned best = SERVERS;

      for (size_t i = 0; i < e->holder.servers; i++)
        {
          struct zp_str id = zp_str_from (e->holder.server[i].server);
          unsigned n = server_number (id.ptr);

          if (st_holder_free_slots (&e->holder, id, s->now) > 0
              && (best == SERVERS
                  || server_latency (d, n) < server_latency (d, best)))
            best = n;
        }
      if (best == SERVERS
          || !st_holder_take (&e->holder, name ("b", best), s->now, actions))
        return;
      send (s, queue_take (&e->queue), best);
    }
}

static void
step_leases (struct sim *s, unsigned d)
{
  struct daemon *e = &s->daemon[d];
  struct st_actions actions = { .item = NULL };
  unsigned slots;

  while (e->queue.len > 0 && is_late (s, e->queue.item[e->queue.head]))
    refuse (s, queue_take (&e->queue));
  serve_leases (s, d, &actions);
  unsigned idle
      = st_lessor_free_slots (&e->lessor, ZP_STR ("booking"), s->now, &slots);
  st_view_put_summary (&e->view, d, ZP_STR ("booking"), idle, slots, s->now);
  st_holder_set_demand (&e->holder, ZP_STR ("booking"),
                        (unsigned) e->queue.len);
  st_holder_step (&e->holder, &e->view, s->now, &actions);
  send_actions (s, d, &actions);
}

static void
lease_message (struct sim *s, struct event *e)
{
  struct daemon *d = &s->daemon[e->d];
  struct st_grants grants = { .item = NULL };
  struct st_actions actions = { .item = NULL };
  struct st_lease_request a = { .from = e->from };

  switch (e->kind)
    {
    case REQUEST_IN:
      a.number = e->out.u.request.number;
      a.service = zp_str_from (e->out.u.request.service);
      a.want = e->out.u.request.want;
      a.keep = e->out.u.request.keep;
      a.keeps = e->out.u.request.keeps;
      st_lessor_request (&d->lessor, &d->view, &a, s->now, &grants);
      free (e->out.u.request.keep);
      break;
    case RETURN_IN:
      st_lessor_return (&d->lessor, &d->view, e->from, &e->out.u.ret, s->now,
                        &grants);
      break;
    case GRANT_IN:
      st_holder_grant (&d->holder, e->from, e->grant, s->now, &actions);
      free (e->grant);
      send_actions (s, e->d, &actions);
      step_leases (s, e->d);
      break;
    default:
      break;
    }
  send_grants (s, e->d, &grants);
}

static void
announce_all (struct sim *s)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      unsigned owner = i == 1 ? 1 : i / 2 + (i > 1 ? 1 : 0);
      struct daemon *d = &s->daemon[owner];
      struct st_grants grants = { .item = NULL };
      struct st_announce a = { .id = name ("b", i),
                               .service = ZP_STR ("booking"),
                               .address = ZP_STR ("127.0.0.1:1"),
                               .slots = SLOTS,
                               .connections = ZP_SERVER_CONNECTIONS_DEFAULT,
                               .inflight = s->server[i].running,
                               .uptime = s->now };

      st_lessor_announce (&d->lessor, &d->view, &a, s->now, &grants, NULL);
      send_grants (s, owner, &grants);
    }
}

static void
send_summary (struct sim *s, unsigned from)
{
  unsigned slots;
  unsigned idle = st_lessor_free_slots (&s->daemon[from].lessor,
                                        ZP_STR ("booking"), s->now, &slots);

  for (unsigned d = 0; d < DAEMONS; d++)
    if (d != from)
      push (s, s->now + daemon_latency (from, d),
            (struct event){ .kind = SUMMARY_IN,
                            .d = d,
                            .from = from,
                            .free_slots = idle,
                            .slots = slots });
}

static void
tick_all (struct sim *s)
{
  for (unsigned d = 0; d < DAEMONS; d++)
    {
      struct st_grants grants = { .item = NULL };

      st_lessor_step (&s->daemon[d].lessor, &s->daemon[d].view, s->now,
                      &grants);
      send_grants (s, d, &grants);
      step_leases (s, d);
    }
}

static void
set_up_leases (struct sim *s)
{
  for (unsigned d = 0; d < DAEMONS; d++)
    {
      struct daemon *e = &s->daemon[d];

      e->view.self = d;
      st_lessor_init (&e->lessor, d, 1, 0);
      st_holder_init (&e->holder, d, 0);
      for (unsigned k = 0; k < DAEMONS; k++)
        {
          struct st_member m = { .id = k, .live = true };

          zp_str_copy (m.failure_domain, ZP_NAME_MAX,
                       name ("f", daemon_domain[k]));
          zp_str_copy (m.region, ZP_NAME_MAX,
                       name ("r", daemon_domain[k] / 2));
          st_view_put (&e->view, &m);
        }
      for (unsigned k = 0; k < REGIONS; k++)
        st_view_put_latency (&e->view, name ("r", daemon_domain[d] / 2),
                             name ("r", k), 55 * ZP_MS);
      push (s, 0, (struct event){ .kind = SUMMARY, .d = d });
    }
  push (s, 0, (struct event){ .kind = ANNOUNCE });
  push (s, 0, (struct event){ .kind = TICK_ALL });
}

#endif
