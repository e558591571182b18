/* NAME
     lease-sim - simulation of entry daemons and servers that exchange leases

   DESCRIPTION
     Property test of owner, lease and holder.  Messages are lost, delayed,
     duplicated and reordered; daemons restart, freeze and stop; one-way
     partitions begin and end; clock rates differ by up to 1%; the daemons
     disagree about which members are live.  After every step, the slots that
     all daemons may use on a server are at most its slots.  */

#ifndef ZP_TESTS_LEASE_SIM_H
#define ZP_TESTS_LEASE_SIM_H

#define DAEMONS 5
#define SERVERS 4
#define IN_FLIGHT_MAX 4096

enum message_kind
{
  MESSAGE_ANNOUNCE,
  MESSAGE_ANSWER,
  MESSAGE_REQUEST,
  MESSAGE_RETURN,
  MESSAGE_GRANT,
  MESSAGE_HANDOVER,
};

struct message
{
  enum message_kind kind;
  zp_time due;
  unsigned from, to; /* daemons from 0; servers from DAEMONS */
  struct st_lease_request request;
  char service[ZP_NAME_MAX];
  struct st_lease_keep keep[32];
  struct st_grant grant;
  struct st_handover handover;
  struct st_handover_lease lease[32];
  zp_time uptime;
  unsigned preferred;
};

struct sim_server
{
  struct skewed_clock clock;
  unsigned slots;
  unsigned at; /* the daemon that it announces to */
  zp_time started, next;
  unsigned unanswered;
  bool leaving;
};

struct sim_daemon
{
  struct skewed_clock clock;
  struct st_lessor l;
  struct st_holder h;
  struct st_view v;
  zp_time frozen_until, stops_at;
  bool stopping;
  uint64_t incarnation;
};

struct sim
{
  struct zp_rng rng;
  zp_time now;
  struct sim_daemon d[DAEMONS];
  struct sim_server s[SERVERS];
  bool partitioned[DAEMONS + SERVERS][DAEMONS + SERVERS];
  double loss, slow;
};

static struct message *in_flight;
static size_t in_flight_count;
static unsigned long taken, adopted, resigned;

static struct zp_str
server_name (unsigned i)
{
  static const char *const name[SERVERS] = { "b0", "b1", "b2", "b3" };
  return zp_str_from (name[i]);
}

static zp_time
local_time (const struct sim *sim, const struct skewed_clock *c)
{
  return clock_at (c, sim->now);
}

static void
send_message (struct sim *sim, struct message m)
{
  if (sim->partitioned[m.from][m.to] || chance (&sim->rng, sim->loss))
    return;
  for (int copies = chance (&sim->rng, 0.05) ? 2 : 1; copies > 0; copies--)
    {
      if (in_flight_count == IN_FLIGHT_MAX)
        return;
      m.due = sim->now + 1000 + zp_rng_below (&sim->rng, 60000);
      if (chance (&sim->rng, sim->slow))
        m.due += zp_rng_below (&sim->rng, 5000000);
      in_flight[in_flight_count++] = m;
    }
}

static void
send_grants (struct sim *sim, unsigned from, struct st_grants *out)
{
  for (size_t i = 0; i < out->len; i++)
    {
      const struct st_grant *g = &out->item[i];

      TRACE ("%.3f d%u grant kind %d to d%u request %lu lease %lu/%lu/%lu\n",
             (double) sim->now / 1e6, from, (int) g->kind, (unsigned) g->to,
             (unsigned long) g->request, (unsigned long) g->id.owner,
             (unsigned long) g->id.epoch, (unsigned long) g->id.number);
      send_message (sim, (struct message){ .kind = MESSAGE_GRANT,
                                           .from = from,
                                           .to = (unsigned) g->to,
                                           .grant = *g });
    }
  st_grants_free (out);
}

static void
send_actions (struct sim *sim, unsigned from, struct st_actions *out)
{
  for (size_t i = 0; i < out->len; i++)
    {
      const struct st_action *o = &out->item[i];
      struct message m = { .from = from, .to = (unsigned) o->to };

      switch (o->kind)
        {
        case ST_ACTION_REQUEST:
          m.kind = MESSAGE_REQUEST;
          m.request = (struct st_lease_request){ .from = from,
                                                 .number = o->u.request.number,
                                                 .want = o->u.request.want,
                                                 .keeps = o->u.request.keeps };
          m.request.keeps = m.request.keeps < 32 ? m.request.keeps : 32;
          for (size_t k = 0; k < m.request.keeps; k++)
            m.keep[k] = o->u.request.keep[k];
          memcpy (m.service, o->u.request.service, ZP_NAME_MAX);
          TRACE ("%.3f d%u request %lu to d%u want %u renews %zu\n",
                 (double) sim->now / 1e6, from,
                 (unsigned long) m.request.number, m.to, m.request.want,
                 m.request.keeps);
          send_message (sim, m);
          break;
        case ST_ACTION_RETURN:
          m.kind = MESSAGE_RETURN;
          m.keep[0] = o->u.ret;
          send_message (sim, m);
          break;
        case ST_ACTION_CANCEL:
          break;
        }
    }
  st_actions_free (out);
}

static void
start_daemon (struct sim *sim, unsigned i)
{
  struct sim_daemon *d = &sim->d[i];

  if (d->incarnation++ > 0)
    {
      st_lessor_free (&d->l);
      st_holder_free (&d->h);
    }
  d->stopping = d->v.member[i].stopping = false;
  d->stops_at = ZP_NEVER;
  st_lessor_init (&d->l, i, d->incarnation << 20, local_time (sim, &d->clock));
  st_holder_init (&d->h, i, d->incarnation << 32);
}

static void
deliver_announce (struct sim *sim, const struct message *m, zp_time t,
                  struct st_grants *out)
{
  struct sim_daemon *d = &sim->d[m->to];
  unsigned s = m->from - DAEMONS;
  struct st_announce a
      = booking_server (server_name (s).ptr, sim->s[s].slots, m->uptime);
  size_t leases = d->l.leases;

  a.leaving = sim->s[s].leaving;
  st_lessor_announce (&d->l, &d->v, &a, t, out, NULL);
  adopted += d->l.leases > leases && out->len > 0
             && out->item[0].kind == ST_GRANT_MOVED;
  const struct st_member *p
      = st_view_preferred (&d->v, ZP_STR ("west-1"), a.id);
  send_message (sim,
                (struct message){ .kind = MESSAGE_ANSWER,
                                  .from = m->to,
                                  .to = m->from,
                                  .preferred = p ? (unsigned) p->id : m->to });
}

static void
deliver (struct sim *sim, struct message *m)
{
  if (m->kind == MESSAGE_ANSWER)
    {
      struct sim_server *s = &sim->s[m->to - DAEMONS];

      if (m->from != s->at)
        return;
      s->unanswered = 0;
      s->at = m->preferred;
      return;
    }
  struct sim_daemon *d = &sim->d[m->to];
  zp_time t = local_time (sim, &d->clock);
  struct st_grants grants = { .item = NULL };
  struct st_actions actions = { .item = NULL };
  switch (m->kind)
    {
    case MESSAGE_ANNOUNCE:
      deliver_announce (sim, m, t, &grants);
      break;
    case MESSAGE_REQUEST:
      m->request.service = zp_str_from (m->service);
      m->request.keep = m->keep;
      st_lessor_request (&d->l, &d->v, &m->request, t, &grants);
      break;
    case MESSAGE_RETURN:
      st_lessor_return (&d->l, &d->v, m->from, &m->keep[0], t, &grants);
      break;
    case MESSAGE_GRANT:
      st_holder_grant (&d->h, m->from, &m->grant, t, &actions);
      break;
    case MESSAGE_HANDOVER:
      m->handover.lease = m->lease;
      st_lessor_take_over (&d->l, &m->handover, t, &grants);
      adopted += grants.len > 0;
      break;
    case MESSAGE_ANSWER:
      break;
    }
  send_grants (sim, m->to, &grants);
  send_actions (sim, m->to, &actions);
}

static void
hand_over_all (struct sim *sim, unsigned i)
{
  struct sim_daemon *d = &sim->d[i];
  zp_time t = local_time (sim, &d->clock);

  d->stopping = d->v.member[i].stopping = true;
  d->stops_at = sim->now + 1 * S + zp_rng_below (&sim->rng, 2000000);
  for (unsigned k = 0; k < SERVERS; k++)
    {
      struct message m = { .kind = MESSAGE_HANDOVER, .from = i };
      const struct st_member *p
          = st_view_preferred (&d->v, ZP_STR ("west-1"), server_name (k));

      if (!p || !st_lessor_hand_over (&d->l, server_name (k), t, &m.handover))
        continue;
      m.to = (unsigned) p->id;
      TRACE ("%.3f d%u hands s%u over to d%u\n", (double) sim->now / 1e6, i, k,
             m.to);
      if (m.handover.leases <= 32)
        {
          for (size_t n = 0; n < m.handover.leases; n++)
            m.lease[n] = m.handover.lease[n];
          send_message (sim, m);
        }
      st_handover_free (&m.handover);
    }
}

/* Injects random faults: restarts, freezes, planned stops, partitions and
   wrong views of which members are live.  */
static void
inject_faults (struct sim *sim)
{
  unsigned i = zp_rng_below (&sim->rng, DAEMONS);
  struct sim_daemon *d = &sim->d[i];
  unsigned s = zp_rng_below (&sim->rng, SERVERS);

  if (chance (&sim->rng, 0.002))
    {
      TRACE ("%.3f d%u restarts\n", (double) sim->now / 1e6, i);
      start_daemon (sim, i);
    }
  if (chance (&sim->rng, 0.002))
    d->frozen_until = sim->now + zp_rng_below (&sim->rng, 5000000);
  if (chance (&sim->rng, 0.002) && !d->stopping)
    hand_over_all (sim, i);
  if (chance (&sim->rng, 0.003))
    sim->s[s].leaving = !sim->s[s].leaving && chance (&sim->rng, 0.5);
  if (chance (&sim->rng, 0.001))
    {
      TRACE ("%.3f s%u restarts\n", (double) sim->now / 1e6, s);
      sim->s[s].started = local_time (sim, &sim->s[s].clock);
      sim->s[s].next = sim->s[s].started;
      sim->s[s].at = zp_rng_below (&sim->rng, DAEMONS);
    }
  if (chance (&sim->rng, 0.01))
    {
      unsigned a = zp_rng_below (&sim->rng, DAEMONS + SERVERS);
      unsigned b = zp_rng_below (&sim->rng, DAEMONS + SERVERS);
      sim->partitioned[a][b] = !sim->partitioned[a][b];
    }
  if (chance (&sim->rng, 0.05))
    memset (sim->partitioned, 0, sizeof sim->partitioned);
  if (chance (&sim->rng, 0.01))
    {
      struct st_member *m = &d->v.member[zp_rng_below (&sim->rng, DAEMONS)];
      m->live = !m->live;
    }
}

static void
run_server (struct sim *sim, unsigned i)
{
  struct sim_server *s = &sim->s[i];
  zp_time t = local_time (sim, &s->clock);

  if (t < s->next)
    return;
  s->next = t + ZP_ANNOUNCE_PERIOD;
  if (s->unanswered++ >= 2)
    {
      s->at = zp_rng_below (&sim->rng, DAEMONS);
      s->unanswered = 1;
    }
  TRACE ("%.3f s%u announces to d%u uptime %.3f\n", (double) sim->now / 1e6, i,
         s->at, (double) (t - s->started) / 1e6);
  send_message (sim, (struct message){ .kind = MESSAGE_ANNOUNCE,
                                       .from = DAEMONS + i,
                                       .to = s->at,
                                       .uptime = t - s->started });
}

static void
run_daemon (struct sim *sim, unsigned i)
{
  struct sim_daemon *d = &sim->d[i];
  zp_time t = local_time (sim, &d->clock);
  struct st_grants grants = { .item = NULL };
  struct st_actions actions = { .item = NULL };
  uint64_t epoch = d->l.owner.epoch;
  unsigned n;

  if (sim->now >= d->stops_at)
    start_daemon (sim, i);
  st_lessor_step (&d->l, &d->v, t, &grants);
  resigned += d->l.owner.epoch != epoch && d->incarnation > 0;
  for (unsigned k = 0; k < DAEMONS; k++)
    {
      unsigned slots;
      unsigned idle
          = st_lessor_free_slots (&sim->d[k].l, ZP_STR ("booking"),
                                  local_time (sim, &sim->d[k].clock), &slots);

      if (chance (&sim->rng, 0.1))
        st_view_put_summary (&d->v, k, ZP_STR ("booking"), idle, slots, t);
    }
  if (chance (&sim->rng, 0.2))
    st_holder_set_demand (&d->h, ZP_STR ("booking"),
                          zp_rng_below (&sim->rng, 5));
  st_holder_step (&d->h, &d->v, t, &actions);
  for (n = 0; n < SERVERS; n++)
    {
      if (chance (&sim->rng, 0.5))
        taken += st_holder_take (&d->h, server_name (n), t, &actions);
      if (chance (&sim->rng, 0.3))
        st_holder_release (&d->h, server_name (n), t, &actions);
    }
  send_grants (sim, i, &grants);
  send_actions (sim, i, &actions);
}

/* Whether the daemons may use at most the slots of each server.  */
static bool
within_capacity (const struct sim *sim)
{
  for (unsigned s = 0; s < SERVERS; s++)
    {
      unsigned sum = 0;

      for (unsigned i = 0; i < DAEMONS; i++)
        {
          unsigned n = st_holder_slots (&sim->d[i].h, server_name (s),
                                        local_time (sim, &sim->d[i].clock));

          sum += n;
          if (sum > sim->s[s].slots)
            TRACE ("%.3f s%u has %u slots, daemons up to d%u use %u\n",
                   (double) sim->now / 1e6, s, sim->s[s].slots, i, sum);
        }
      if (sum > sim->s[s].slots)
        return false;
    }
  return true;
}

static void
set_up (struct sim *sim, uint32_t seed)
{
  zp_rng_seed (&sim->rng, seed);
  sim->loss = chance (&sim->rng, 0.5) ? 0.02 : 0.2;
  sim->slow = chance (&sim->rng, 0.5) ? 0.01 : 0.2;
  for (unsigned i = 0; i < DAEMONS; i++)
    {
      sim->d[i].clock = clock_new (&sim->rng);
      sim->d[i].v.self = i;
      for (unsigned k = 0; k < DAEMONS; k++)
        put_member (&sim->d[i].v, k, "west-1", "west");
      start_daemon (sim, i);
    }
  for (unsigned i = 0; i < SERVERS; i++)
    {
      sim->s[i].clock = clock_new (&sim->rng);
      sim->s[i].slots = 1 + zp_rng_below (&sim->rng, 5);
      sim->s[i].at = zp_rng_below (&sim->rng, DAEMONS);
      sim->s[i].started = local_time (sim, &sim->s[i].clock)
                          - zp_rng_below (&sim->rng, 5000000);
      sim->s[i].next = local_time (sim, &sim->s[i].clock);
    }
}

/* Runs the simulation for 40 s.  Returns false at the first violation.  */
static bool
capacity_holds (uint32_t seed)
{
  struct sim *sim = zp_alloc (sizeof *sim);
  bool ok = true;

  in_flight = zp_alloc (IN_FLIGHT_MAX * sizeof *in_flight);
  in_flight_count = 0;
  set_up (sim, seed);
  while (ok && sim->now < 40 * S)
    {
      sim->now += 1000 + zp_rng_below (&sim->rng, 30000);
      inject_faults (sim);
      for (size_t i = in_flight_count; i-- > 0;)
        {
          if (in_flight[i].due > sim->now
              || (in_flight[i].to < DAEMONS
                  && sim->d[in_flight[i].to].frozen_until > sim->now))
            continue;
          struct message m = in_flight[i];
          in_flight[i] = in_flight[--in_flight_count];
          deliver (sim, &m);
        }
      for (unsigned i = 0; i < SERVERS; i++)
        run_server (sim, i);
      for (unsigned i = 0; i < DAEMONS; i++)
        if (sim->d[i].frozen_until <= sim->now)
          run_daemon (sim, i);
      ok = within_capacity (sim);
    }
  for (unsigned i = 0; i < DAEMONS; i++)
    {
      st_lessor_free (&sim->d[i].l);
      st_holder_free (&sim->d[i].h);
      st_view_free (&sim->d[i].v);
    }
  free (in_flight);
  free (sim);
  return ok;
}

#endif
