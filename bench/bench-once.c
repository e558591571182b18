/* Cost of at-most-once claims: processor time of one whole exchange of an
   attempt with the three members of its home (claim, grant, forward, record,
   recorded), once with messages passed as they are and once through the codec,
   bytes on the wire, and memory of a member for each key.

   Limits: no sockets; the outcome has a body of 256 bytes.  The baseline of
   the exchange is a fresh key parsed and answered without any claim.  */

#include "figures.h"

#include "once/attempt.h"
#include "once/codec.h"
#include "once/member.h"
#include "wire/frame.h"

#define MEMBERS 3
#define RUNS 9
#define CALLS 5000
#define BODY 256

struct world
{
  struct oc_member *member[MEMBERS];
  struct oc_home home;
  zp_time now;
  uint64_t number;
  bool encode;
  uint64_t bytes;
};

static void
open_world (struct world *w, size_t limit)
{
  *w = (struct world){ .now = 100 * ZP_SEC };
  for (uint64_t i = 0; i < MEMBERS; i++)
    {
      struct oc_member_conf conf = { .id = i + 1,
                                     .incarnation = 1764800000000000 + i,
                                     .hash_seed = 7,
                                     .limit = limit };
      w->member[i] = oc_member_new (&conf, w->now);
      w->home.member[i] = oc_member_self (w->member[i], w->now);
    }
  w->home.count = MEMBERS;
}

static void
close_world (struct world *w)
{
  for (int i = 0; i < MEMBERS; i++)
    oc_member_free (w->member[i]);
}

/* Passes M through the codec when the run is to include it.  */
static bool
transfer (struct world *w, const struct oc_msg *m, struct oc_msg *out)
{
  struct zp_buf b = { .ptr = NULL };
  struct zp_err err;

  uint8_t kind = oc_encode (m, &b);
  if (!oc_decode (kind, zp_str_of (&b), out, &err))
    fig_die ("bench-once", &err);
  w->bytes += b.len + WI_HEADER_SIZE;
  zp_buf_free (&b);
  return true;
}

static void
deliver (struct world *w, struct oc_attempt *a, const struct oc_send *s)
{
  struct oc_msg in, answer = { .kind = OC_ANSWER }, back;

  if (!w->encode)
    {
      oc_member_handle (w->member[s->member - 1], &s->msg, w->now, &answer);
      oc_attempt_receive (a, s->member, &answer, w->now);
      oc_msg_free (&answer);
      return;
    }
  transfer (w, &s->msg, &in);
  oc_member_handle (w->member[s->member - 1], &in, w->now, &answer);
  transfer (w, &answer, &back);
  oc_attempt_receive (a, s->member, &back, w->now);
  oc_msg_free (&in);
  oc_msg_free (&answer);
  oc_msg_free (&back);
}

static void
make_key (struct world *w, struct zp_buf *key)
{
  oc_home_format (key, &w->home);
  zp_buf_printf (key, ".unique-%012llu", (unsigned long long) ++w->number);
}

static void
forward (struct world *w, struct oc_attempt *a)
{
  static const char body[BODY];
  struct oc_outcome o = { .verdict = ZP_RAN, .whole = true, .status = 200 };

  if (!oc_attempt_begin_forward (a, w->now))
    fig_die ("bench-once: no quorum", NULL);
  zp_buf_put (&o.content_type, ZP_STR ("application/json"));
  zp_buf_put_bytes (&o.body, body, sizeof body);
  oc_attempt_end_forward (a, &o, w->now);
}

/* One request from claim to recorded outcome.  */
static void
exchange (struct world *w)
{
  struct zp_buf key = { .ptr = NULL };
  struct oc_home home;
  struct oc_action *o;
  bool answered = false;

  make_key (w, &key);
  if (!oc_key_parse (zp_str_of (&key), &home, NULL))
    fig_die ("bench-once: key", NULL);
  struct oc_attempt *a
      = oc_attempt_new ((struct oc_attempt_id){ 9, 1, w->number },
                        zp_str_of (&key), &home, w->now, w->now + 2 * ZP_SEC);
  while ((o = oc_attempt_next_action (a)))
    {
      if (o->kind == OC_SEND)
        deliver (w, a, &o->u.send);
      else if (o->kind == OC_FORWARD)
        forward (w, a);
      else
        answered = o->kind == OC_ANSWERED;
      oc_action_free (o);
    }
  if (!answered)
    fig_die ("bench-once: no answer", NULL);
  oc_attempt_free (a);
  zp_buf_free (&key);
}

static void
plain (struct world *w)
{
  struct zp_buf key = { .ptr = NULL };
  struct oc_home home;

  make_key (w, &key);
  oc_key_parse (zp_str_of (&key), &home, NULL);
  zp_buf_free (&key);
}

static double
cost (void (*work) (struct world *w), bool encode, struct fig_values *v,
      double *bytes)
{
  for (int r = 0; r < RUNS; r++)
    {
      struct world w;
      open_world (&w, ZP_ONCE_MEMBER_BYTES);
      w.encode = encode;
      double start = fig_cpu_process ();
      for (int i = 0; i < CALLS; i++)
        work (&w);
      fig_add (v, (fig_cpu_process () - start) / CALLS);
      *bytes = (double) w.bytes / CALLS;
      close_world (&w);
    }
  return fig_quantile (v, 0.5);
}

/* Memory of three members by the number of keys.  */
static void
measure_memory (void)
{
  static const unsigned sizes[] = { 10000, 30000, 90000 };
  double x[3], heap[3], counted[3];

  for (int s = 0; s < 3; s++)
    {
      struct world w;
      double before = fig_heap ();
      open_world (&w, ZP_ONCE_MEMBER_BYTES);
      for (unsigned i = 0; i < sizes[s]; i++)
        exchange (&w);
      x[s] = sizes[s];
      heap[s] = (fig_heap () - before) / MEMBERS;
      counted[s] = (double) oc_member_bytes (w.member[0]);
      if (oc_member_keys (w.member[0]) != sizes[s])
        fig_die ("bench-once: keys were lost", NULL);
      close_world (&w);
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

  double baseline = cost (plain, false, &base, &bytes);
  cost (exchange, false, &bare, &bytes);
  fig_print ("once-exchange", &bare, "us", baseline);
  cost (exchange, true, &coded, &bytes);
  fig_print ("once-exchange-codec", &coded, "us", baseline);
  fig_line ("once-exchange-bytes", bytes, "B");
  measure_memory ();
  return 0;
}
