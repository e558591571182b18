/* NAME
     lease-world - owners, holders and servers joined by a bag of messages

   DESCRIPTION
     Property test of owner, lease and holder.  Messages are lost, delayed,
     copied and overtaken; daemons restart, freeze and stop; one-way partitions
     come and go; clock rates differ by up to 1%; every daemon has its own idea
     of who lives.  After every step, the slots that all daemons may use on a
     server are at most its slots.  */

#ifndef ZP_TESTS_LEASE_WORLD_H
#define ZP_TESTS_LEASE_WORLD_H

#define DAEMONS 5
#define SERVERS 4
#define BAG 4096

enum bag_kind
{
  BAG_ANNOUNCE,
  BAG_ANSWER,
  BAG_ASK,
  BAG_RETURN,
  BAG_GRANT,
  BAG_HANDOVER,
};

struct bag_item
{
  enum bag_kind kind;
  zp_time due;
  unsigned from, to; /* daemons from 0; servers from DAEMONS */
  struct st_ask ask;
  char service[ZP_NAME_MAX];
  struct st_keep keep[32];
  struct st_grant grant;
  struct st_handover handover;
  struct st_handover_lease lease[32];
  zp_time uptime;
  unsigned preferred;
};

struct world_server
{
  struct clocked clock;
  unsigned slots, at; /* AT: the daemon that it announces to */
  zp_time started, next;
  unsigned unanswered;
  bool leaving;
};

struct world_daemon
{
  struct clocked clock;
  struct st_lessor l;
  struct st_holder h;
  struct st_view v;
  zp_time frozen_until, stops_at;
  bool stopping;
  uint64_t life;
};

struct world
{
  struct zp_rng rng;
  zp_time now;
  struct world_daemon d[DAEMONS];
  struct world_server s[SERVERS];
  bool cut[DAEMONS + SERVERS][DAEMONS + SERVERS];
  double loss, slow;
};

static struct bag_item *bag;
static size_t bagged;
static unsigned long world_taken, world_adopted, world_resigned;

static struct zp_str
server_name (unsigned i)
{
  static const char *const name[SERVERS] = { "b0", "b1", "b2", "b3" };
  return zp_str_from (name[i]);
}

static zp_time
local (const struct world *w, const struct clocked *c)
{
  return clock_at (c, w->now);
}

static void
put (struct world *w, struct bag_item m)
{
  if (w->cut[m.from][m.to] || chance (&w->rng, w->loss))
    return;
  for (int copies = chance (&w->rng, 0.05) ? 2 : 1; copies > 0; copies--)
    {
      if (bagged == BAG)
        return;
      m.due = w->now + 1000 + zp_rng_below (&w->rng, 60000);
      if (chance (&w->rng, w->slow))
        m.due += zp_rng_below (&w->rng, 5000000);
      bag[bagged++] = m;
    }
}

static void
send_grants (struct world *w, unsigned from, struct st_grants *out)
{
  for (size_t i = 0; i < out->len; i++)
    {
      const struct st_grant *g = &out->item[i];

      TRACE ("%.3f d%u grant kind %d to d%u ask %lu lease %lu/%lu/%lu\n",
             (double) w->now / 1e6, from, (int) g->kind, (unsigned) g->to,
             (unsigned long) g->ask, (unsigned long) g->id.owner,
             (unsigned long) g->id.epoch, (unsigned long) g->id.number);
      put (w, (struct bag_item){ .kind = BAG_GRANT,
                                 .from = from,
                                 .to = (unsigned) g->to,
                                 .grant = *g });
    }
  st_grants_free (out);
}

static void
send_outs (struct world *w, unsigned from, struct st_outs *out)
{
  for (size_t i = 0; i < out->len; i++)
    {
      const struct st_out *o = &out->item[i];
      struct bag_item m = { .from = from, .to = (unsigned) o->to };

      switch (o->kind)
        {
        case ST_OUT_ASK:
          m.kind = BAG_ASK;
          m.ask = (struct st_ask){ .from = from,
                                   .number = o->u.ask.number,
                                   .want = o->u.ask.want,
                                   .keeps = o->u.ask.keeps };
          m.ask.keeps = m.ask.keeps < 32 ? m.ask.keeps : 32;
          for (size_t k = 0; k < m.ask.keeps; k++)
            m.keep[k] = o->u.ask.keep[k];
          memcpy (m.service, o->u.ask.service, ZP_NAME_MAX);
          TRACE ("%.3f d%u ask %lu to d%u want %u renews %zu\n",
                 (double) w->now / 1e6, from, (unsigned long) m.ask.number,
                 m.to, m.ask.want, m.ask.keeps);
          put (w, m);
          break;
        case ST_OUT_RETURN:
          m.kind = BAG_RETURN;
          m.keep[0] = o->u.ret;
          put (w, m);
          break;
        case ST_OUT_CANCEL:
          break;
        }
    }
  st_outs_free (out);
}

static void
start_daemon (struct world *w, unsigned i)
{
  struct world_daemon *d = &w->d[i];

  if (d->life++ > 0)
    {
      st_lessor_free (&d->l);
      st_holder_free (&d->h);
    }
  d->stopping = d->v.member[i].stopping = false;
  d->stops_at = ZP_NEVER;
  st_lessor_init (&d->l, i, d->life << 20, local (w, &d->clock));
  st_holder_init (&d->h, i, d->life << 32);
}

static void
deliver_announce (struct world *w, const struct bag_item *m, zp_time t,
                  struct st_grants *out)
{
  struct world_daemon *d = &w->d[m->to];
  unsigned s = m->from - DAEMONS;
  struct st_announce a
      = booking_server (server_name (s).ptr, w->s[s].slots, m->uptime);
  size_t leases = d->l.leases;

  a.leaving = w->s[s].leaving;
  st_lessor_announce (&d->l, &d->v, &a, t, out, NULL);
  world_adopted += d->l.leases > leases && out->len > 0
                   && out->item[0].kind == ST_GRANT_MOVED;
  const struct st_member *p
      = st_view_preferred (&d->v, ZP_STR ("west-1"), a.id);
  put (w, (struct bag_item){ .kind = BAG_ANSWER,
                             .from = m->to,
                             .to = m->from,
                             .preferred = p ? (unsigned) p->id : m->to });
}

static void
deliver (struct world *w, struct bag_item *m)
{
  if (m->kind == BAG_ANSWER)
    {
      struct world_server *s = &w->s[m->to - DAEMONS];

      if (m->from != s->at)
        return;
      s->unanswered = 0;
      s->at = m->preferred;
      return;
    }
  struct world_daemon *d = &w->d[m->to];
  zp_time t = local (w, &d->clock);
  struct st_grants grants = { .item = NULL };
  struct st_outs outs = { .item = NULL };
  switch (m->kind)
    {
    case BAG_ANNOUNCE:
      deliver_announce (w, m, t, &grants);
      break;
    case BAG_ASK:
      m->ask.service = zp_str_from (m->service);
      m->ask.keep = m->keep;
      st_lessor_ask (&d->l, &d->v, &m->ask, t, &grants);
      break;
    case BAG_RETURN:
      st_lessor_return (&d->l, &d->v, m->from, &m->keep[0], t, &grants);
      break;
    case BAG_GRANT:
      st_holder_grant (&d->h, m->from, &m->grant, t, &outs);
      break;
    case BAG_HANDOVER:
      m->handover.lease = m->lease;
      st_lessor_take_over (&d->l, &m->handover, t, &grants);
      world_adopted += grants.len > 0;
      break;
    case BAG_ANSWER:
      break;
    }
  send_grants (w, m->to, &grants);
  send_outs (w, m->to, &outs);
}

static void
hand_over_all (struct world *w, unsigned i)
{
  struct world_daemon *d = &w->d[i];
  zp_time t = local (w, &d->clock);

  d->stopping = d->v.member[i].stopping = true;
  d->stops_at = w->now + 1 * S + zp_rng_below (&w->rng, 2000000);
  for (unsigned k = 0; k < SERVERS; k++)
    {
      struct bag_item m = { .kind = BAG_HANDOVER, .from = i };
      const struct st_member *p
          = st_view_preferred (&d->v, ZP_STR ("west-1"), server_name (k));

      if (!p || !st_lessor_hand_over (&d->l, server_name (k), t, &m.handover))
        continue;
      m.to = (unsigned) p->id;
      TRACE ("%.3f d%u hands s%u over to d%u\n", (double) w->now / 1e6, i, k,
             m.to);
      if (m.handover.leases <= 32)
        {
          for (size_t n = 0; n < m.handover.leases; n++)
            m.lease[n] = m.handover.lease[n];
          put (w, m);
        }
      st_handover_free (&m.handover);
    }
}

/* What goes wrong by itself.  */
static void
disturb (struct world *w)
{
  unsigned i = zp_rng_below (&w->rng, DAEMONS);
  struct world_daemon *d = &w->d[i];
  unsigned s = zp_rng_below (&w->rng, SERVERS);

  if (chance (&w->rng, 0.002))
    {
      TRACE ("%.3f d%u restarts\n", (double) w->now / 1e6, i);
      start_daemon (w, i);
    }
  if (chance (&w->rng, 0.002))
    d->frozen_until = w->now + zp_rng_below (&w->rng, 5000000);
  if (chance (&w->rng, 0.002) && !d->stopping)
    hand_over_all (w, i);
  if (chance (&w->rng, 0.003))
    w->s[s].leaving = !w->s[s].leaving && chance (&w->rng, 0.5);
  if (chance (&w->rng, 0.001))
    {
      TRACE ("%.3f s%u restarts\n", (double) w->now / 1e6, s);
      w->s[s].started = local (w, &w->s[s].clock);
      w->s[s].next = w->s[s].started;
      w->s[s].at = zp_rng_below (&w->rng, DAEMONS);
    }
  if (chance (&w->rng, 0.01))
    {
      unsigned a = zp_rng_below (&w->rng, DAEMONS + SERVERS);
      unsigned b = zp_rng_below (&w->rng, DAEMONS + SERVERS);
      w->cut[a][b] = !w->cut[a][b];
    }
  if (chance (&w->rng, 0.05))
    memset (w->cut, 0, sizeof w->cut);
  if (chance (&w->rng, 0.01))
    {
      struct st_member *m = &d->v.member[zp_rng_below (&w->rng, DAEMONS)];
      m->live = !m->live;
    }
}

static void
run_server (struct world *w, unsigned i)
{
  struct world_server *s = &w->s[i];
  zp_time t = local (w, &s->clock);

  if (t < s->next)
    return;
  s->next = t + ZP_ANNOUNCE_PERIOD;
  if (s->unanswered++ >= 2)
    {
      s->at = zp_rng_below (&w->rng, DAEMONS);
      s->unanswered = 1;
    }
  TRACE ("%.3f s%u announces to d%u uptime %.3f\n", (double) w->now / 1e6, i,
         s->at, (double) (t - s->started) / 1e6);
  put (w, (struct bag_item){ .kind = BAG_ANNOUNCE,
                             .from = DAEMONS + i,
                             .to = s->at,
                             .uptime = t - s->started });
}

static void
run_daemon (struct world *w, unsigned i)
{
  struct world_daemon *d = &w->d[i];
  zp_time t = local (w, &d->clock);
  struct st_grants grants = { .item = NULL };
  struct st_outs outs = { .item = NULL };
  uint64_t epoch = d->l.owner.epoch;
  unsigned n;

  if (w->now >= d->stops_at)
    start_daemon (w, i);
  st_lessor_step (&d->l, &d->v, t, &grants);
  world_resigned += d->l.owner.epoch != epoch && d->life > 0;
  for (unsigned k = 0; k < DAEMONS; k++)
    {
      unsigned slots;
      unsigned idle = st_lessor_free_slots (&w->d[k].l, ZP_STR ("booking"),
                                            local (w, &w->d[k].clock), &slots);

      if (chance (&w->rng, 0.1))
        st_view_put_summary (&d->v, k, ZP_STR ("booking"), idle, slots, t);
    }
  if (chance (&w->rng, 0.2))
    st_holder_want (&d->h, ZP_STR ("booking"), zp_rng_below (&w->rng, 5));
  st_holder_step (&d->h, &d->v, t, &outs);
  for (n = 0; n < SERVERS; n++)
    {
      if (chance (&w->rng, 0.5))
        world_taken += st_holder_take (&d->h, server_name (n), t, &outs);
      if (chance (&w->rng, 0.3))
        st_holder_give (&d->h, server_name (n), t, &outs);
    }
  send_grants (w, i, &grants);
  send_outs (w, i, &outs);
}

static bool
within_capacity (const struct world *w)
{
  for (unsigned s = 0; s < SERVERS; s++)
    {
      unsigned sum = 0;

      for (unsigned i = 0; i < DAEMONS; i++)
        {
          unsigned n = st_holder_slots (&w->d[i].h, server_name (s),
                                        local (w, &w->d[i].clock));

          sum += n;
          if (sum > w->s[s].slots)
            TRACE ("%.3f s%u has %u slots, daemons up to d%u use %u\n",
                   (double) w->now / 1e6, s, w->s[s].slots, i, sum);
        }
      if (sum > w->s[s].slots)
        return false;
    }
  return true;
}

static void
set_up (struct world *w, uint32_t seed)
{
  zp_rng_seed (&w->rng, seed);
  w->loss = chance (&w->rng, 0.5) ? 0.02 : 0.2;
  w->slow = chance (&w->rng, 0.5) ? 0.01 : 0.2;
  for (unsigned i = 0; i < DAEMONS; i++)
    {
      w->d[i].clock = clock_new (&w->rng);
      w->d[i].v.self = i;
      for (unsigned k = 0; k < DAEMONS; k++)
        put_member (&w->d[i].v, k, "west-1", "west");
      start_daemon (w, i);
    }
  for (unsigned i = 0; i < SERVERS; i++)
    {
      w->s[i].clock = clock_new (&w->rng);
      w->s[i].slots = 1 + zp_rng_below (&w->rng, 5);
      w->s[i].at = zp_rng_below (&w->rng, DAEMONS);
      w->s[i].started
          = local (w, &w->s[i].clock) - zp_rng_below (&w->rng, 5000000);
      w->s[i].next = local (w, &w->s[i].clock);
    }
}

static bool
world_holds (uint32_t seed)
{
  struct world *w = zp_alloc (sizeof *w);
  bool ok = true;

  bag = zp_alloc (BAG * sizeof *bag);
  bagged = 0;
  set_up (w, seed);
  while (ok && w->now < 40 * S)
    {
      w->now += 1000 + zp_rng_below (&w->rng, 30000);
      disturb (w);
      for (size_t i = bagged; i-- > 0;)
        {
          if (bag[i].due > w->now
              || (bag[i].to < DAEMONS
                  && w->d[bag[i].to].frozen_until > w->now))
            continue;
          struct bag_item m = bag[i];
          bag[i] = bag[--bagged];
          deliver (w, &m);
        }
      for (unsigned i = 0; i < SERVERS; i++)
        run_server (w, i);
      for (unsigned i = 0; i < DAEMONS; i++)
        if (w->d[i].frozen_until <= w->now)
          run_daemon (w, i);
      ok = within_capacity (w);
    }
  for (unsigned i = 0; i < DAEMONS; i++)
    {
      st_lessor_free (&w->d[i].l);
      st_holder_free (&w->d[i].h);
      st_view_free (&w->d[i].v);
    }
  free (bag);
  free (w);
  return ok;
}

#endif
