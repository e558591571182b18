/* Benchmark of the limits of workspaces.  Measures, for 30 to 420 holders and
   for 77 and 300 workspaces:

   - asks a second of one holder, and their items
   - bytes of an ask and of its grant, as protobuf messages without the header
     of the frame
   - processor time of an ask at the owner, and of making it and applying its
     grant at the holder, without the codec
   - memory of the owner

   Each holder gets 77 requests a second, as an entry daemon of customer K,
   divided among the workspaces by Zipf's law with exponent 1.2; the limits are
   1.6 times the usual rates and hold one second of it, at least 10 requests.
   Asks and grants take 55 ms each.

   Limits: there are no sockets, the benchmark sets the time, and no message is
   lost.  */

#include "figures.h"

#include "base/rng.h"
#include "base/str.h"
#include "quota/holder.h"
#include "quota/owner.h"
#include "wire/roster.pb-c.h"

#define STEP (10 * ZP_MS)
#define LATENCY_STEPS 5 /* and one step that the ask takes */
#define WARM_STEPS 1500 /* 15 s */
#define STEPS 1000
#define PER_HOLDER 77.0 /* requests a second */
#define EXPONENT 1.2
#define HOLDERS_MAX 420
#define LIMITS_MAX 300

struct holder
{
  struct qu_holder *core;
  uint16_t waiting[LIMITS_MAX];
};

/* An ask, and its grant on the way back.  */
struct message
{
  unsigned holder;
  struct tk_quota_ask ask;
  struct tk_quota_grant grant;
};

/* The messages of one step.  */
struct batch
{
  struct message item[HOLDERS_MAX];
  unsigned len;
};

struct figures
{
  double asks, items, ask_bytes, grant_bytes, owner_us, holder_us;
  double requests, refused;
};

static struct holder holder[HOLDERS_MAX];
static struct qu_limit limit[LIMITS_MAX];
static double cumulated[LIMITS_MAX]; /* share of the requests up to each */
static struct batch batch[2 * LATENCY_STEPS + 1];
static struct zp_rng rng;
static struct qu_owner *owner;

static size_t
ask_size (const struct tk_quota_ask *a)
{
  Wire__RosterQuotaAsk m = WIRE__ROSTER_QUOTA_ASK__INIT;
  uint64_t workspaces[QU_ITEMS_MAX], applied[QU_ITEMS_MAX];
  uint32_t rates[QU_ITEMS_MAX], bursts[QU_ITEMS_MAX], demands[QU_ITEMS_MAX],
      wants[QU_ITEMS_MAX];

  for (size_t i = 0; i < a->len; i++)
    {
      workspaces[i] = a->item[i].workspace;
      applied[i] = a->item[i].applied;
      rates[i] = a->item[i].rate_share;
      bursts[i] = a->item[i].burst_share;
      demands[i] = (uint32_t) (a->item[i].demand * 1000);
      wants[i] = a->item[i].want;
    }
  m.holder = a->holder;
  m.incarnation = a->incarnation;
  m.number = a->number;
  m.n_workspaces = m.n_applied = m.n_rate_shares = a->len;
  m.n_burst_shares = m.n_demands_milli = m.n_wants = a->len;
  m.workspaces = workspaces;
  m.applied = applied;
  m.rate_shares = rates;
  m.burst_shares = bursts;
  m.demands_milli = demands;
  m.wants = wants;
  return wire__roster_quota_ask__get_packed_size (&m);
}

static size_t
grant_size (const struct tk_quota_grant *g)
{
  Wire__RosterQuotaGrant m = WIRE__ROSTER_QUOTA_GRANT__INIT;
  uint64_t workspaces[QU_ITEMS_MAX];
  uint32_t rates[QU_ITEMS_MAX], bursts[QU_ITEMS_MAX], tokens[QU_ITEMS_MAX],
      wanted[QU_ITEMS_MAX];

  for (size_t i = 0; i < g->len; i++)
    {
      workspaces[i] = g->item[i].workspace;
      rates[i] = g->item[i].rate_share;
      bursts[i] = g->item[i].burst_share;
      tokens[i] = g->item[i].tokens;
      wanted[i] = g->item[i].wanted;
    }
  m.holder = g->holder;
  m.incarnation = g->incarnation;
  m.number = g->number;
  m.term = g->term;
  m.grant = g->grant;
  m.ttl_us = (uint64_t) g->ttl;
  m.period_us = (uint64_t) g->period;
  m.n_workspaces = m.n_rate_shares = m.n_burst_shares = g->len;
  m.n_tokens = m.n_wanted = g->len;
  m.workspaces = workspaces;
  m.rate_shares = rates;
  m.burst_shares = bursts;
  m.tokens = tokens;
  m.wanted = wanted;
  return wire__roster_quota_grant__get_packed_size (&m);
}

static void
set_limits (unsigned holders, unsigned limits)
{
  double sum = 0;

  for (unsigned i = 0; i < limits; i++)
    cumulated[i] = sum += pow (i + 1, -EXPONENT);
  for (unsigned i = 0; i < limits; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "space-%u", i);
      double usual = PER_HOLDER * holders * pow (i + 1, -EXPONENT) / sum;
      limit[i] = (struct qu_limit){
        .workspace = zp_str_hash (zp_str_from (name), 0),
        .rate = 1.6 * usual,
        .burst = fmax (1.6 * usual, 10),
      };
      cumulated[i] /= sum;
    }
}

static unsigned
random_limit (unsigned limits)
{
  double x = zp_rng_unit (&rng);
  unsigned low = 0, high = limits - 1;

  while (low < high)
    {
      unsigned mid = (low + high) / 2;
      if (cumulated[mid] < x)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

/* The requests of a step at H.  */
static void
arrive (struct holder *h, unsigned limits, zp_time now, struct figures *f)
{
  double mean = PER_HOLDER * STEP / ZP_SEC;

  for (double p = zp_rng_unit (&rng); p > exp (-mean); p *= zp_rng_unit (&rng))
    {
      unsigned w = random_limit (limits);
      struct qu_decision d
          = qu_holder_take (h->core, limit[w].workspace, now, &rng);
      f->requests++;
      f->refused += d.kind == QU_EXHAUSTED || d.kind == QU_UNKNOWN;
      h->waiting[w] += d.kind == QU_WAIT;
    }
}

static void
retry (struct holder *h, unsigned limits, zp_time now, struct figures *f)
{
  for (unsigned w = 0; w < limits; w++)
    for (unsigned n = h->waiting[w]; n > 0; n--)
      {
        struct qu_decision d
            = qu_holder_retry (h->core, limit[w].workspace, now, &rng);
        if (d.kind == QU_WAIT)
          break;
        h->waiting[w]--;
        f->refused += d.kind != QU_SPEND;
      }
}

/* One step: grants arrive, requests arrive, asks are made, asks that were made
   earlier arrive at the owner.  */
static void
run_step (unsigned step, unsigned holders, unsigned limits, struct figures *f)
{
  const unsigned n = 2 * LATENCY_STEPS + 1;
  zp_time now = 100 * ZP_SEC + step * STEP;
  struct batch *b = &batch[step % n],
               *due = &batch[(step + LATENCY_STEPS) % n];

  double start = fig_cpu_process ();
  for (unsigned i = 0; i < b->len; i++)
    qu_holder_grant (holder[b->item[i].holder].core, &b->item[i].grant, now);
  f->holder_us += fig_cpu_process () - start;
  for (unsigned i = 0; i < b->len; i++)
    {
      retry (&holder[b->item[i].holder], limits, now, f);
      free (b->item[i].ask.item);
      free (b->item[i].grant.item);
    }
  b->len = 0;
  for (unsigned i = 0; i < holders; i++)
    arrive (&holder[i], limits, now, f);
  start = fig_cpu_process ();
  for (unsigned i = 0; i < holders; i++)
    {
      struct message *m = &b->item[b->len];
      m->holder = i;
      b->len += qu_holder_make_ask (holder[i].core, now, &m->ask);
    }
  f->holder_us += fig_cpu_process () - start;
  for (unsigned i = 0; i < b->len; i++)
    f->ask_bytes += (double) ask_size (&b->item[i].ask);
  start = fig_cpu_process ();
  for (unsigned i = 0; i < due->len; i++)
    qu_owner_ask (owner, &due->item[i].ask, now, &due->item[i].grant);
  f->owner_us += fig_cpu_process () - start;
  for (unsigned i = 0; i < due->len; i++)
    {
      f->asks++;
      f->items += (double) due->item[i].ask.len;
      f->grant_bytes += (double) grant_size (&due->item[i].grant);
    }
}

static void
print (unsigned holders, unsigned limits, const char *what, double value,
       const char *unit)
{
  char name[64];

  snprintf (name, sizeof name, "quota-%u-%u-%s", holders, limits, what);
  fig_line (name, value, unit);
}

static void
measure (unsigned holders, unsigned limits)
{
  struct figures f = { .asks = 0 };
  double seconds = (double) STEPS * STEP / ZP_SEC;

  zp_rng_seed (&rng, 3);
  set_limits (holders, limits);
  for (unsigned i = 0; i < holders; i++)
    {
      holder[i] = (struct holder){ .core = qu_holder_new (i + 1, i + 1) };
      qu_holder_set_limits (holder[i].core, limit, limits, 100 * ZP_SEC);
    }
  double heap = fig_heap ();
  owner = qu_owner_new ();
  qu_owner_set_limits (owner, limit, limits, 100 * ZP_SEC);
  qu_owner_lead (owner, 1, 100 * ZP_SEC);
  unsigned step = 0;
  for (; step < WARM_STEPS; step++)
    run_step (step, holders, limits, &f);
  f = (struct figures){ .asks = 0 };
  for (; step < WARM_STEPS + STEPS; step++)
    run_step (step, holders, limits, &f);
  /* The messages under way are a small part of this.  */
  heap = fig_heap () - heap;

  double asks = f.asks / seconds;
  print (holders, limits, "asks", asks / holders, "1/s/holder");
  print (holders, limits, "items", f.items / f.asks, "1/ask");
  print (holders, limits, "ask-bytes", f.ask_bytes / f.asks, "B");
  print (holders, limits, "grant-bytes", f.grant_bytes / f.asks, "B");
  print (holders, limits, "holder-bytes",
         (f.ask_bytes + f.grant_bytes) / seconds / holders, "B/s/holder");
  print (holders, limits, "owner-time", f.owner_us / f.asks, "us/ask");
  print (holders, limits, "owner-core", f.owner_us / seconds / 1e4, "%");
  print (holders, limits, "holder-time", f.holder_us / f.asks, "us/ask");
  print (holders, limits, "owner-memory", heap / 1e6, "MB");
  print (holders, limits, "refused", f.refused / f.requests * 100, "%");
  fflush (stdout);

  qu_owner_free (owner);
  for (unsigned i = 0; i < holders; i++)
    qu_holder_free (holder[i].core);
  for (size_t i = 0; i < sizeof batch / sizeof batch[0]; i++)
    for (; batch[i].len > 0; batch[i].len--)
      free (batch[i].item[batch[i].len - 1].ask.item);
  /* Grants under way at the end of a run are not freed.  */
}

int
main (void)
{
  static const unsigned holders[] = { 30, 100, 300, HOLDERS_MAX };

  for (size_t i = 0; i < sizeof holders / sizeof holders[0]; i++)
    {
      measure (holders[i], 77);
      measure (holders[i], LIMITS_MAX);
    }
  return 0;
}
