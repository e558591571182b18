/* Simulates attempts and members on a network that loses, delays, repeats and
   reorders messages, in random steps from a seed.  "test-once-steps FIRST
   COUNT" runs COUNT seeds from FIRST instead of the default ones.  A seed that
   fails prints its trace.  */

#include "harness.h"

#include <stdlib.h>

#include "base/rng.h"
#include "once/attempt.h"
#include "once/member.h"

enum
{
  MEMBERS = 3,
  KEYS = 3, /* the last one has a home of one member */
  ATTEMPTS = 12,
  PACKETS_MAX = 400,
  STEPS = 500,
};

struct attempt
{
  struct oc_attempt *a; /* NULL after its entry daemon has stopped */
  size_t key;
  bool frozen;    /* its entry daemon is paused */
  bool permitted; /* OC_FORWARD was emitted */
  bool in_flight;
  int replies; /* answers and refusals to the caller */
};

/* A message of an attempt to a member, or the answer to the attempt.  */
struct packet
{
  size_t attempt;
  size_t member;
  struct oc_msg msg;
};

struct key
{
  char text[ZP_KEY_MAX];
  struct oc_home home;
  int runs;
  size_t runner; /* the attempt that ran */
  bool not_run;  /* a caller was answered not-run */
};

struct sim
{
  struct zp_rng rng;
  zp_time now;
  struct oc_member *member[MEMBERS];
  uint64_t incarnation[MEMBERS];
  /* No message gets through between the two.  */
  bool cut[ATTEMPTS][MEMBERS];
  struct key key[KEYS];
  struct attempt attempt[ATTEMPTS];
  size_t attempts;
  struct packet packet[PACKETS_MAX];
  size_t packets;
  struct zp_buf trace;
  bool with_restarts;   /* members restart and keys expire */
  const char *violated; /* the rule that was violated */
};

/* Counts of events over all seeds.  They show that the test reaches the cases
   that it guards against.  */
static struct
{
  int runs, not_run, may_have_run, own, repeated, restarts;
} total;

#define TRACE(s, ...) zp_buf_printf (&(s)->trace, __VA_ARGS__)

static void
expect (struct sim *s, bool holds, const char *rule)
{
  if (holds || s->violated)
    return;
  s->violated = rule;
  TRACE (s, "VIOLATED: %s\n", rule);
}

static uint32_t
below (struct sim *s, size_t n)
{
  return zp_rng_below (&s->rng, (uint32_t) n);
}

static void
start_member (struct sim *s, size_t i)
{
  const struct oc_member_conf conf
      = { .id = i + 1, .incarnation = ++s->incarnation[i], .limit = 1 << 20 };

  oc_member_free (s->member[i]);
  s->member[i] = oc_member_new (&conf, s->now);
}

static void
make_key (struct sim *s, size_t k)
{
  struct zp_buf b = { .ptr = NULL };
  struct oc_home h = { .count = k == KEYS - 1 ? 1 : MEMBERS };

  for (size_t i = 0; i < h.count; i++)
    h.member[i] = oc_member_self (s->member[i], s->now);
  oc_home_format (&b, &h);
  zp_buf_printf (&b, ".key%zu", k);
  zp_str_copy (s->key[k].text, sizeof s->key[k].text, zp_str_of (&b));
  zp_buf_free (&b);
  s->key[k].home = h;
}

/* The backend server runs the request of attempt T.  */
static void
server_runs (struct sim *s, size_t t)
{
  struct key *k = &s->key[s->attempt[t].key];

  TRACE (s, "  attempt %zu runs\n", t);
  expect (s, k->runs == 0, "a key runs at most once");
  expect (s, !k->not_run, "a key that was answered not-run never runs");
  k->runs++;
  k->runner = t;
  total.runs++;
}

/* Puts M into the network, which loses it when full.  */
static void
enqueue (struct sim *s, size_t attempt, size_t member, struct oc_msg *m)
{
  if (s->packets == PACKETS_MAX)
    {
      oc_msg_free (m);
      return;
    }
  s->packet[s->packets++] = (struct packet){ attempt, member, *m };
}

static void
reply_to_caller (struct sim *s, size_t t, const struct oc_action *o)
{
  struct key *k = &s->key[s->attempt[t].key];
  char body[32];

  s->attempt[t].replies++;
  expect (s, s->attempt[t].replies == 1, "each attempt gives one answer");
  if (o->kind == OC_ANSWERED)
    {
      TRACE (s, "  attempt %zu answers %.*s\n", t, ZP_ARG (o->u.answer.body));
      snprintf (body, sizeof body, "run of %zu", k->runner);
      expect (s, k->runs == 1, "an answer comes from a run");
      expect (s, zp_str_eq (zp_str_of (&o->u.answer.body), zp_str_from (body)),
              "a resend gets the recorded outcome");
      if (k->runner == t)
        total.own++;
      else
        total.repeated++;
      return;
    }
  TRACE (s, "  attempt %zu refuses: %s, %s\n", t,
         zp_verdict_name (o->u.refusal.verdict), o->u.refusal.reason);
  if (o->u.refusal.verdict != ZP_NOT_RUN)
    {
      total.may_have_run++;
      return;
    }
  expect (s, k->runs == 0, "not-run is answered only when it never ran");
  k->not_run = true;
  total.not_run++;
}

/* Carries out the actions of attempt T.  */
static void
run_actions (struct sim *s, size_t t)
{
  struct oc_action *o;

  while ((o = oc_attempt_next_action (s->attempt[t].a)))
    {
      switch (o->kind)
        {
        case OC_SEND:
          enqueue (s, t, (size_t) o->u.send.member - 1, &o->u.send.msg);
          o->u.send.msg = (struct oc_msg){ .kind = OC_CLAIM };
          break;
        case OC_FORWARD:
          TRACE (s, "  attempt %zu may forward\n", t);
          s->attempt[t].permitted = true;
          break;
        case OC_ANSWERED:
        case OC_REFUSED:
          reply_to_caller (s, t, o);
          break;
        }
      oc_action_free (o);
    }
}

/* Delivers packet I.  KEEP leaves it in the network, to be delivered again.
 */
static void
deliver (struct sim *s, size_t i, bool keep)
{
  struct packet p = s->packet[i], *slot = &s->packet[i];
  struct oc_msg back;

  if (!keep)
    *slot = s->packet[--s->packets];
  TRACE (s, "deliver kind %d, attempt %zu, member %zu, reply %d%s\n",
         p.msg.kind, p.attempt, p.member + 1,
         p.msg.kind == OC_ANSWER ? (int) p.msg.u.answer.reply : -1,
         keep ? ", again later" : "");
  if (p.msg.kind != OC_ANSWER)
    {
      oc_member_handle (s->member[p.member], &p.msg, s->now, &back);
      enqueue (s, p.attempt, p.member, &back);
    }
  else if (s->attempt[p.attempt].a)
    {
      oc_attempt_receive (s->attempt[p.attempt].a, p.member + 1, &p.msg,
                          s->now);
      run_actions (s, p.attempt);
    }
  if (!keep)
    oc_msg_free (&p.msg);
}

/* Delivers or loses a random packet.  */
static void
step_network (struct sim *s)
{
  if (s->packets == 0)
    return;
  size_t i = below (s, s->packets);
  struct packet *p = &s->packet[i];

  if (s->cut[p->attempt][p->member]
      || (p->msg.kind == OC_ANSWER && s->attempt[p->attempt].frozen))
    return;
  if (below (s, 10) == 0)
    {
      TRACE (s, "lose kind %d, attempt %zu, member %zu\n", p->msg.kind,
             p->attempt, p->member + 1);
      oc_msg_free (&p->msg);
      *p = s->packet[--s->packets];
      return;
    }
  deliver (s, i, below (s, 6) == 0);
}

static void
new_attempt (struct sim *s, size_t k, zp_time time_left)
{
  if (s->attempts == ATTEMPTS)
    return;
  size_t t = s->attempts++;

  TRACE (s, "attempt %zu on key %zu, %lld ms\n", t, k,
         (long long) (time_left / ZP_MS));
  s->attempt[t].key = k;
  s->attempt[t].a = oc_attempt_new (
      (struct oc_attempt_id){ .daemon = 100 + t, .number = t },
      zp_str_from (s->key[k].text), &s->key[k].home, s->now,
      s->now + time_left);
  run_actions (s, t);
}

/* Forwards the request, or ends it if it is at the backend server.  */
static void
step_forward (struct sim *s, size_t t)
{
  struct attempt *y = &s->attempt[t];
  struct oc_outcome o = { .verdict = ZP_NOT_RUN, .whole = true };

  if (!y->in_flight)
    {
      y->in_flight = y->permitted && oc_attempt_begin_forward (y->a, s->now);
      if (y->in_flight)
        TRACE (s, "attempt %zu is forwarded\n", t);
      run_actions (s, t);
      return;
    }
  y->in_flight = false;
  switch (below (s, 4))
    {
    case 0:
      break;
    case 1:
      o.verdict = ZP_MAY_HAVE_RUN;
      if (below (s, 2) == 0)
        server_runs (s, t);
      break;
    default:
      o.verdict = ZP_RAN;
      server_runs (s, t);
      zp_buf_printf (&o.body, "run of %zu", t);
      break;
    }
  TRACE (s, "attempt %zu ends %s\n", t, zp_verdict_name (o.verdict));
  oc_attempt_end_forward (y->a, &o, s->now);
  run_actions (s, t);
}

/* Stops the entry daemon of attempt T.  */
static void
crash (struct sim *s, size_t t)
{
  TRACE (s, "daemon of attempt %zu stops\n", t);
  if (s->attempt[t].in_flight && below (s, 2) == 0)
    server_runs (s, t);
  oc_attempt_free (s->attempt[t].a);
  s->attempt[t].a = NULL;
}

static void
advance (struct sim *s)
{
  static const zp_time by[]
      = { ZP_MS,      ZP_MS,       ZP_MS,       5 * ZP_MS, 5 * ZP_MS,
          25 * ZP_MS, 150 * ZP_MS, 150 * ZP_MS, ZP_SEC };

  s->now += by[below (s, sizeof by / sizeof by[0])];
  /* By whole generations, so that keys expire.  */
  if (s->with_restarts && below (s, 25) == 0)
    s->now += (1 + below (s, 8)) * ZP_ONCE_GENERATION;
  TRACE (s, "now %lld us\n", (long long) s->now);
}

static void
step (struct sim *s)
{
  uint32_t roll = below (s, 1000);
  size_t t = below (s, s->attempts + 1), m = below (s, MEMBERS);
  bool live = t < s->attempts && s->attempt[t].a && !s->attempt[t].frozen;

  if (roll < 600)
    step_network (s);
  else if (roll < 680)
    advance (s);
  else if (roll < 720)
    new_attempt (s, below (s, KEYS), (100 + below (s, 8000)) * ZP_MS);
  else if (roll < 725)
    {
      if (!s->with_restarts)
        return;
      TRACE (s, "member %zu restarts\n", m + 1);
      start_member (s, m);
      total.restarts++;
    }
  else if (roll < 745 && t < s->attempts)
    {
      s->cut[t][m] = !s->cut[t][m];
      TRACE (s, "attempt %zu, member %zu: cut %d\n", t, m + 1, s->cut[t][m]);
    }
  else if (roll < 765 && t < s->attempts)
    {
      s->attempt[t].frozen = !s->attempt[t].frozen;
      TRACE (s, "attempt %zu: frozen %d\n", t, s->attempt[t].frozen);
    }
  else if (roll < 770 && live)
    crash (s, t);
  else if (roll < 785 && live)
    {
      TRACE (s, "attempt %zu gives up\n", t);
      oc_attempt_refuse (s->attempt[t].a, ZP_STR ("no-capacity"), s->now);
      run_actions (s, t);
    }
  else if (roll < 900 && live)
    step_forward (s, t);
  else if (live)
    {
      TRACE (s, "tick attempt %zu\n", t);
      oc_attempt_tick (s->attempt[t].a, s->now);
      run_actions (s, t);
    }
}

/* Delivers all packets and checks that every attempt finishes with one answer
   when no further fault happens.  */
static void
finish_all (struct sim *s)
{
  for (int round = 0; round < 130; round++)
    {
      while (s->packets > 0)
        deliver (s, s->packets - 1, false);
      s->now += 100 * ZP_MS;
      for (size_t t = 0; t < s->attempts; t++)
        if (s->attempt[t].a)
          {
            if (s->attempt[t].in_flight)
              step_forward (s, t);
            oc_attempt_tick (s->attempt[t].a, s->now);
            run_actions (s, t);
          }
    }
  for (size_t t = 0; t < s->attempts; t++)
    if (s->attempt[t].a)
      {
        expect (s, s->attempt[t].replies == 1, "every caller gets an answer");
        expect (s, oc_attempt_finished (s->attempt[t].a),
                "every attempt finishes");
        expect (s, oc_attempt_next_tick (s->attempt[t].a) == ZP_NEVER,
                "a finished attempt has no timer");
      }
}

/* Returns whether every rule holds in all steps of SEED.  */
static bool
run_seed (uint32_t seed)
{
  struct sim *s = zp_alloc (sizeof *s);

  zp_rng_seed (&s->rng, seed);
  s->with_restarts = seed % 2 == 0;
  for (size_t i = 0; i < MEMBERS; i++)
    start_member (s, i);
  for (size_t k = 0; k < KEYS; k++)
    make_key (s, k);
  for (int i = 0; i < STEPS && !s->violated; i++)
    step (s);
  if (!s->violated)
    finish_all (s);
  bool ok = !s->violated;
  if (!ok)
    printf ("seed %u: %s; replay: test-once-steps %u 1\n%.*s", seed,
            s->violated, seed, ZP_ARG (s->trace));
  while (s->packets > 0)
    oc_msg_free (&s->packet[--s->packets].msg);
  for (size_t t = 0; t < s->attempts; t++)
    oc_attempt_free (s->attempt[t].a);
  for (size_t i = 0; i < MEMBERS; i++)
    oc_member_free (s->member[i]);
  zp_buf_free (&s->trace);
  free (s);
  return ok;
}

static unsigned long first = 1, seeds = 3000;

/* Guards against an order of messages, restarts and pauses in which a request
   runs twice, a request that has run is answered not-run, or a caller gets no
   answer.  */
static void
test_seeds (void)
{
  for (unsigned long i = 0; i < seeds; i++)
    CU_ASSERT_FATAL (run_seed ((uint32_t) (first + i)));
  printf ("%lu seeds: %d runs, %d own answers, %d repeated answers, %d "
          "not-run, %d may-have-run, %d restarts ",
          seeds, total.runs, total.own, total.repeated, total.not_run,
          total.may_have_run, total.restarts);
  if (seeds < 3000)
    return;
  CU_ASSERT (total.runs > 100 && total.own > 100 && total.repeated > 100);
  CU_ASSERT (total.not_run > 100 && total.may_have_run > 100
             && total.restarts > 100);
}

int
main (int argc, char **argv)
{
  if (argc > 1)
    {
      first = strtoul (argv[1], NULL, 10);
      seeds = argc > 2 ? strtoul (argv[2], NULL, 10) : 1;
    }
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite ("once-steps", NULL, NULL);
  CU_add_test (suite, "rules hold at every step of every seed", test_seeds);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failed = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failed == 0 ? 0 : 1;
}
