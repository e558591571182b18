/* Benchmark of at-most-once claims.  Measures:

   - processor time of all messages between one attempt and the three members
     of its home: claim, grant, forward, record, recorded.  It is measured
     twice: with messages passed as structures, and encoded and decoded.
   - bytes on the wire
   - memory of a member for each key

   The baseline makes and parses a new key without any claim.

   Limits: there are no sockets; the body of the outcome has 256 bytes.  */

#include "figures.h"

#include "once/attempt.h"
#include "once/codec.h"
#include "once/member.h"
#include "wire/frame.h"

#define MEMBERS 3
#define RUNS 9
#define CALLS 5000
#define BODY 256 /* bytes */

struct sim
{
  struct oc_member *member[MEMBERS];
  struct oc_home home;
  zp_time now;
  uint64_t number;
  bool encode;
  uint64_t bytes;
};

static void
open_sim (struct sim *sim, size_t limit)
{
  *sim = (struct sim){ .now = 100 * ZP_SEC };
  for (uint64_t i = 0; i < MEMBERS; i++)
    {
      struct oc_member_conf conf = { .id = i + 1,
                                     .incarnation = 1764800000000000 + i,
                                     .hash_seed = 7,
                                     .limit = limit };
      sim->member[i] = oc_member_new (&conf, sim->now);
      sim->home.member[i] = oc_member_self (sim->member[i], sim->now);
    }
  sim->home.count = MEMBERS;
}

static void
close_sim (struct sim *sim)
{
  for (int i = 0; i < MEMBERS; i++)
    oc_member_free (sim->member[i]);
}

/* Encodes M, counts its bytes, and decodes it into OUT.  */
static bool
transfer (struct sim *sim, const struct oc_msg *m, struct oc_msg *out)
{
  struct zp_buf b = { .ptr = NULL };
  struct zp_err err;

  uint8_t kind = oc_encode (m, &b);
  if (!oc_decode (kind, zp_str_of (&b), out, &err))
    fig_die ("bench-once", &err);
  sim->bytes += b.len + WI_HEADER_SIZE;
  zp_buf_free (&b);
  return true;
}

static void
deliver (struct sim *sim, struct oc_attempt *a, const struct oc_send *s)
{
  struct oc_msg in, answer = { .kind = OC_ANSWER }, back;

  if (!sim->encode)
    {
      oc_member_handle (sim->member[s->member - 1], &s->msg, sim->now,
                        &answer);
      oc_attempt_receive (a, s->member, &answer, sim->now);
      oc_msg_free (&answer);
      return;
    }
  transfer (sim, &s->msg, &in);
  oc_member_handle (sim->member[s->member - 1], &in, sim->now, &answer);
  transfer (sim, &answer, &back);
  oc_attempt_receive (a, s->member, &back, sim->now);
  oc_msg_free (&in);
  oc_msg_free (&answer);
  oc_msg_free (&back);
}

static void
make_key (struct sim *sim, struct zp_buf *key)
{
  oc_home_format (key, &sim->home);
  zp_buf_printf (key, ".unique-%012llu", (unsigned long long) ++sim->number);
}

static void
forward (struct sim *sim, struct oc_attempt *a)
{
  static const char body[BODY];
  struct oc_outcome o = { .verdict = ZP_RAN, .whole = true, .status = 200 };

  if (!oc_attempt_begin_forward (a, sim->now))
    fig_die ("bench-once: no quorum", NULL);
  zp_buf_put (&o.content_type, ZP_STR ("application/json"));
  zp_buf_put_bytes (&o.body, body, sizeof body);
  oc_attempt_end_forward (a, &o, sim->now);
}

/* One request from claim to recorded outcome.  */
static void
exchange (struct sim *sim)
{
  struct zp_buf key = { .ptr = NULL };
  struct oc_home home;
  struct oc_action *o;
  bool answered = false;

  make_key (sim, &key);
  if (!oc_key_parse (zp_str_of (&key), &home, NULL))
    fig_die ("bench-once: the key does not parse", NULL);
  struct oc_attempt *a = oc_attempt_new (
      (struct oc_attempt_id){ 9, 1, sim->number }, zp_str_of (&key), &home,
      sim->now, sim->now + 2 * ZP_SEC);
  while ((o = oc_attempt_next_action (a)))
    {
      if (o->kind == OC_SEND)
        deliver (sim, a, &o->u.send);
      else if (o->kind == OC_FORWARD)
        forward (sim, a);
      else
        answered = o->kind == OC_ANSWERED;
      oc_action_free (o);
    }
  if (!answered)
    fig_die ("bench-once: the attempt gave no answer", NULL);
  oc_attempt_free (a);
  zp_buf_free (&key);
}

/* The baseline: makes and parses a key.  */
static void
make_and_parse (struct sim *sim)
{
  struct zp_buf key = { .ptr = NULL };
  struct oc_home home;

  make_key (sim, &key);
  oc_key_parse (zp_str_of (&key), &home, NULL);
  zp_buf_free (&key);
}

/* Adds the processor time of one call of WORK in each run to V, in
   microseconds, and returns the median.  */
static double
cost (void (*work) (struct sim *sim), bool encode, struct fig_values *v,
      double *bytes)
{
  for (int r = 0; r < RUNS; r++)
    {
      struct sim sim;
      open_sim (&sim, ZP_ONCE_MEMBER_BYTES);
      sim.encode = encode;
      double start = fig_cpu_process ();
      for (int i = 0; i < CALLS; i++)
        work (&sim);
      fig_add (v, (fig_cpu_process () - start) / CALLS);
      *bytes = (double) sim.bytes / CALLS;
      close_sim (&sim);
    }
  return fig_quantile (v, 0.5);
}

/* Memory of one member by the number of keys: the heap is the mean of three
   members, the counted bytes are those that the first one reports.  */
static void
measure_memory (void)
{
  static const unsigned sizes[] = { 10000, 30000, 90000 };
  double x[3], heap[3], counted[3];

  for (int s = 0; s < 3; s++)
    {
      struct sim sim;
      double before = fig_heap ();
      open_sim (&sim, ZP_ONCE_MEMBER_BYTES);
      for (unsigned i = 0; i < sizes[s]; i++)
        exchange (&sim);
      x[s] = sizes[s];
      heap[s] = (fig_heap () - before) / MEMBERS;
      counted[s] = (double) oc_member_bytes (sim.member[0]);
      if (oc_member_keys (sim.member[0]) != sizes[s])
        fig_die ("bench-once: keys were lost", NULL);
      close_sim (&sim);
    }
  fig_fit ("once-memory-heap", x, heap, 3, "B/key");
  fig_fit ("once-memory-counted", x, counted, 3, "B/key");
}

int
main (void)
{
  struct fig_values base = { .len = 0 }, bare = { .len = 0 },
                    coded = { .len = 0 };
  double bytes;

  double baseline = cost (make_and_parse, false, &base, &bytes);
  cost (exchange, false, &bare, &bytes);
  fig_print ("once-exchange", &bare, "us", baseline);
  cost (exchange, true, &coded, &bytes);
  fig_print ("once-exchange-codec", &coded, "us", baseline);
  fig_line ("once-exchange-bytes", bytes, "B");
  measure_memory ();
  return 0;
}
