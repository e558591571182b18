/* Counts the bytes that the loads of servers take in the messages between an
   entry daemon and its control daemon, and between two control daemons.  The
   reports, answers and relayed messages of one region are encoded by the code
   of the daemons for 5 s, at 30, 100, 300 and 420 entry daemons in three regions
   with 20, 50 and 100 answers a second each.  The counts of requests at servers
   are not in these messages.

   "known" is the share of the servers of the region of which a daemon has a
   sample below 1 s at the end.

   There are ten servers for each entry daemon, as in the sweeps of
   docs/CAPACITY.md; a daemon uses those of its region.  Each answer is one of a
   random server, and states a pace.  The daemons of a region report to two
   control daemons, half of them to each.

   Limits: no sockets; frame headers are counted, TCP and IP headers are not.
   A server is as likely as any other, which is the case with the most different
   servers in a report.  */

#include "figures.h"

#include "base/rng.h"
#include "roster/codec.h"
#include "roster/loads.h"
#include "wire/frame.h"

#define REGIONS 3
#define SERVERS_PER_DAEMON 10
#define CONTROLS 2 /* of the region */
#define DAEMONS_MAX 140
#define SERVERS_MAX (DAEMONS_MAX * SERVERS_PER_DAEMON)
#define ANSWERS_MAX 32 /* in one report */
#define SECONDS 5
#define WORK_PERIOD (125 * ZP_MS) /* GT_WORK_PERIOD */
#define RELAY_PERIOD (100 * ZP_MS)

/* Tag of the server with this index.  */
#define TAG(index) (0x40000000u + (index) *7919u)
#define INDEX(tag) (((tag) -0x40000000u) / 7919u)

struct region
{
  struct zp_rng rng;
  unsigned daemons, servers, answers;
  struct ro_loads loads[CONTROLS];
  uint64_t read[DAEMONS_MAX], relayed[CONTROLS];
  double reports, replies, relays; /* bytes */
  double sent, taken;              /* samples to the entry daemons */
  zp_time known[SERVERS_MAX];      /* newest sample that daemon 0 has */
  double cpu;                      /* microseconds of the control daemons */
};

static double
encoded (const struct tk_work *w)
{
  struct zp_buf b = { .ptr = NULL };

  ro_put_work (&b, w);
  double n = (double) (b.len + WI_HEADER_SIZE);
  zp_buf_free (&b);
  return n;
}

/* Fills LIST with the answers that a daemon got since its last report.  A later
   answer of a server takes the place of an earlier one.  */
static size_t
make_samples (struct region *r, struct tk_work_load *list)
{
  double want = (double) r->answers * (double) WORK_PERIOD / (double) ZP_SEC;
  unsigned n = (unsigned) want;
  size_t len = 0;

  n += zp_rng_unit (&r->rng) < want - n;
  for (unsigned i = 0; i < n && i < ANSWERS_MAX; i++)
    {
      uint32_t server = TAG (zp_rng_below (&r->rng, r->servers));
      size_t at = 0;
      while (at < len && list[at].server != server)
        at++;
      list[at] = (struct tk_work_load){
        .server = server,
        .requests = zp_rng_below (&r->rng, 36),
        .pace = 80 + zp_rng_below (&r->rng, 300),
        .age = (zp_time) zp_rng_below (&r->rng, (unsigned) WORK_PERIOD)
      };
      len += at == len;
    }
  return len;
}

/* Notes the samples in W that daemon 0 has at NOW.  */
static void
note_known (struct region *r, const struct tk_work *w, zp_time now)
{
  for (size_t i = 0; i < w->loads; i++)
    {
      zp_time *at = &r->known[INDEX (w->load[i].server)];
      if (now - w->load[i].age > *at)
        *at = now - w->load[i].age;
    }
}

static void
report (struct region *r, unsigned daemon, zp_time now)
{
  struct tk_work_load list[ANSWERS_MAX];
  struct tk_work w = { .load = list, .loads = make_samples (r, list) };
  struct ro_loads *l = &r->loads[daemon % CONTROLS];

  r->reports += encoded (&w);
  r->sent += (double) w.loads;
  double cpu = fig_cpu_process ();
  ro_loads_take (l, daemon, RO_WORK_DIRECT, &w, RO_LOADS_REPORT_MAX, now);
  struct tk_work answer = { .item = NULL };
  ro_loads_read (l, daemon, RO_WORK_ALL, RO_LOADS_ANSWER_MAX, &r->read[daemon],
                 now, &answer);
  r->replies += encoded (&answer);
  r->cpu += fig_cpu_process () - cpu;
  r->taken += (double) answer.loads;
  if (daemon == 0)
    {
      note_known (r, &w, now);
      note_known (r, &answer, now);
    }
  free (answer.load);
}

static void
relay (struct region *r, unsigned control, zp_time now)
{
  struct tk_work w = { .item = NULL };

  ro_loads_read (&r->loads[control], RO_LOADS_NO_DAEMON, RO_WORK_DIRECT,
                 RO_LOADS_RELAY_MAX, &r->relayed[control], now, &w);
  r->relays += encoded (&w);
  for (unsigned i = 0; i < CONTROLS; i++)
    if (i != control)
      ro_loads_take (&r->loads[i], UINT64_MAX - 1 - control, RO_WORK_RELAYED,
                     &w, RO_LOADS_RELAY_MAX, now);
  free (w.load);
}

static void
line (unsigned daemons, unsigned answers, const char *what, double value,
      const char *unit)
{
  char name[64];

  snprintf (name, sizeof name, "loads-%u-%u-%s", daemons, answers, what);
  fig_line (name, value, unit);
}

static void
measure (unsigned daemons, unsigned answers)
{
  struct region r = { .daemons = daemons / REGIONS,
                      .servers = daemons * SERVERS_PER_DAEMON / REGIONS,
                      .answers = answers };
  const zp_time begin = 10 * ZP_SEC;

  zp_rng_seed (&r.rng, 5);
  for (zp_time t = 0; t < SECONDS * ZP_SEC; t += ZP_MS)
    {
      /* Each daemon reports at a phase of its own.  */
      for (unsigned d = 0; d < r.daemons; d++)
        if (t % WORK_PERIOD == d * (WORK_PERIOD / ZP_MS) / r.daemons * ZP_MS)
          report (&r, d, begin + t);
      for (unsigned c = 0; c < CONTROLS; c++)
        if (t % RELAY_PERIOD == c * RELAY_PERIOD / CONTROLS)
          relay (&r, c, begin + t);
    }
  double each = (double) r.daemons * SECONDS;
  line (daemons, answers, "up", r.reports / each, "B/s/daemon");
  line (daemons, answers, "down", r.replies / each, "B/s/daemon");
  line (daemons, answers, "both", (r.reports + r.replies) / each,
        "B/s/daemon");
  line (daemons, answers, "relay", r.relays / (CONTROLS * SECONDS),
        "B/s/control");
  line (daemons, answers, "sent", r.sent / each, "samples/s/daemon");
  line (daemons, answers, "taken", r.taken / each, "samples/s/daemon");
  double known = 0;
  for (unsigned i = 0; i < r.servers; i++)
    known += begin + SECONDS * ZP_SEC - r.known[i] < RO_LOADS_TTL;
  line (daemons, answers, "known", 100 * known / r.servers, "%");
  line (daemons, answers, "cpu", r.cpu / (CONTROLS * SECONDS), "us/s/control");
  for (unsigned c = 0; c < CONTROLS; c++)
    ro_loads_free (&r.loads[c]);
}

int
main (void)
{
  static const unsigned sizes[] = { 30, 100, 300, 420 };
  static const unsigned rates[] = { 20, 50, 100 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (size_t k = 0; k < sizeof rates / sizeof rates[0]; k++)
      measure (sizes[i], rates[k]);
  return 0;
}
