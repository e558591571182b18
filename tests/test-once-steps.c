/* Seeded steps of attempts and members over a network that loses, delays,
   repeats and reorders messages.  "test-once-steps FIRST COUNT" runs other
   seeds than the fixed set; a seed that fails prints its trace.  */

#include "harness.h"

#include <stdlib.h>

#include "base/rng.h"
#include "once/attempt.h"
#include "once/member.h"

enum
{
  MEMBERS = 3,
  KEYS = 3, /* the last has a home of one */
  TRIES = 12,
  BAG = 400,
  STEPS = 500,
};

struct
try
  {
    struct oc_attempt *a;
    size_t key;
    bool frozen;
    bool permitted; /* OC_FORWARD was put out */
    bool in_flight;
    int replies; /* answers and refusals to the caller */
  };

/* A message to a member, or an answer of it to a try.  */
struct letter
{
  size_t try;
  size_t member;
  struct oc_msg msg;
};

struct key
{
  char text[ZP_KEY_MAX];
  struct oc_home home;
  int runs;
  size_t runner;
  bool not_run; /* was answered */
};

struct sim
{
  struct zp_rng rng;
  zp_time now;
  struct oc_member *member[MEMBERS];
  uint64_t incarnation[MEMBERS];
  bool cut[TRIES][MEMBERS];
  struct key key[KEYS];
  struct try try[TRIES];
  size_t tries;
  struct letter bag[BAG];
  size_t letters;
  struct zp_buf trace;
  bool harsh;         /* members restart and keys expire */
  const char *broken; /* the rule that was broken */
};

/* What the seeds have reached together; a test that reaches nothing guards
   nothing.  */
static struct
{
  int runs, not_run, may, own, repeated, restarts;
} total;

#define TRACE(s, ...) zp_buf_printf (&(s)->trace, __VA_ARGS__)

static void
expect (struct sim *s, bool held, const char *rule)
{
  if (held || s->broken)
    return;
  s->broken = rule;
  TRACE (s, "BROKEN: %s\n", rule);
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

/* The backend server runs the request of try T.  */
static void
server_runs (struct sim *s, size_t t)
{
  struct key *k = &s->key[s->try[t].key];

  TRACE (s, "  try %zu runs\n", t);
  expect (s, k->runs == 0, "a key runs at most once");
  expect (s, !k->not_run, "a key that was answered not-run never runs");
  k->runs++;
  k->runner = t;
  total.runs++;
}

static void
post (struct sim *s, size_t try, size_t member, struct oc_msg *m)
{
  if (s->letters == BAG)
    {
      oc_msg_free (m);
      return;
    }
  s->bag[s->letters++] = (struct letter){ try, member, *m };
}

static void
reply_to_caller (struct sim *s, size_t t, const struct oc_action *o)
{
  struct key *k = &s->key[s->try[t].key];
  char body[32];

  s->try[t].replies++;
  expect (s, s->try[t].replies == 1, "one answer for each try");
  if (o->kind == OC_ANSWERED)
    {
      TRACE (s, "  try %zu answers %.*s\n", t, ZP_ARG (o->u.answer.body));
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
  TRACE (s, "  try %zu refuses: %s, %s\n", t,
         zp_verdict_name (o->u.refusal.verdict), o->u.refusal.reason);
  if (o->u.refusal.verdict != ZP_NOT_RUN)
    {
      total.may++;
      return;
    }
  expect (s, k->runs == 0, "not-run is answered only when it never ran");
  k->not_run = true;
  total.not_run++;
}

static void
drain (struct sim *s, size_t t)
{
  struct oc_action *o;

  while ((o = oc_attempt_next_action (s->try[t].a)))
    {
      switch (o->kind)
        {
        case OC_SEND:
          post (s, t, (size_t) o->u.send.member - 1, &o->u.send.msg);
          o->u.send.msg = (struct oc_msg){ .kind = OC_CLAIM };
          break;
        case OC_FORWARD:
          TRACE (s, "  try %zu may forward\n", t);
          s->try[t].permitted = true;
          break;
        case OC_ANSWERED:
        case OC_REFUSED:
          reply_to_caller (s, t, o);
          break;
        }
      oc_action_free (o);
    }
}

/* Hands letter I over; KEEP leaves it in the bag for a second time.  */
static void
deliver (struct sim *s, size_t i, bool keep)
{
  struct letter l = s->bag[i], *kept = &s->bag[i];
  struct oc_msg back;

  if (!keep)
    *kept = s->bag[--s->letters];
  TRACE (s, "deliver kind %d, try %zu, member %zu, reply %d%s\n", l.msg.kind,
         l.try, l.member + 1,
         l.msg.kind == OC_ANSWER ? (int) l.msg.u.answer.reply : -1,
         keep ? ", again later" : "");
  if (l.msg.kind != OC_ANSWER)
    {
      oc_member_handle (s->member[l.member], &l.msg, s->now, &back);
      post (s, l.try, l.member, &back);
    }
  else if (s->try[l.try].a)
    {
      oc_attempt_receive (s->try[l.try].a, l.member + 1, &l.msg, s->now);
      drain (s, l.try);
    }
  if (!keep)
    oc_msg_free (&l.msg);
}

static void
some_letter (struct sim *s)
{
  if (s->letters == 0)
    return;
  size_t i = below (s, s->letters);
  struct letter *l = &s->bag[i];

  if (s->cut[l->try][l->member]
      || (l->msg.kind == OC_ANSWER && s->try[l->try].frozen))
    return;
  if (below (s, 10) == 0)
    {
      TRACE (s, "lose kind %d, try %zu, member %zu\n", l->msg.kind, l->try,
             l->member + 1);
      oc_msg_free (&l->msg);
      *l = s->bag[--s->letters];
      return;
    }
  deliver (s, i, below (s, 6) == 0);
}

static void
new_try (struct sim *s, size_t k, zp_time time_left)
{
  if (s->tries == TRIES)
    return;
  size_t t = s->tries++;

  TRACE (s, "try %zu on key %zu, %lld ms\n", t, k,
         (long long) (time_left / ZP_MS));
  s->try[t].key = k;
  s->try[t].a = oc_attempt_new (
      (struct oc_attempt_id){ .daemon = 100 + t, .number = t },
      zp_str_from (s->key[k].text), &s->key[k].home, s->now,
      s->now + time_left);
  drain (s, t);
}

/* Forwards, or ends a request that is at the backend server.  */
static void
some_forward (struct sim *s, size_t t)
{
  struct try *y = &s->try[t];
  struct oc_outcome o = { .verdict = ZP_NOT_RUN, .whole = true };

  if (!y->in_flight)
    {
      y->in_flight = y->permitted && oc_attempt_begin_forward (y->a, s->now);
      if (y->in_flight)
        TRACE (s, "try %zu is forwarded\n", t);
      drain (s, t);
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
  TRACE (s, "try %zu ends %s\n", t, zp_verdict_name (o.verdict));
  oc_attempt_end_forward (y->a, &o, s->now);
  drain (s, t);
}

static void
crash (struct sim *s, size_t t)
{
  TRACE (s, "daemon of try %zu stops\n", t);
  if (s->try[t].in_flight && below (s, 2) == 0)
    server_runs (s, t);
  oc_attempt_free (s->try[t].a);
  s->try[t].a = NULL;
}

static void
advance (struct sim *s)
{
  static const zp_time by[]
      = { ZP_MS,      ZP_MS,       ZP_MS,       5 * ZP_MS, 5 * ZP_MS,
          25 * ZP_MS, 150 * ZP_MS, 150 * ZP_MS, ZP_SEC };

  s->now += by[below (s, sizeof by / sizeof by[0])];
  /* Whole generations, so that keys expire.  */
  if (s->harsh && below (s, 25) == 0)
    s->now += (1 + below (s, 8)) * ZP_ONCE_GENERATION;
  TRACE (s, "now %lld us\n", (long long) s->now);
}

static void
step (struct sim *s)
{
  uint32_t roll = below (s, 1000);
  size_t t = below (s, s->tries + 1), m = below (s, MEMBERS);
  bool live = t < s->tries && s->try[t].a && !s->try[t].frozen;

  if (roll < 600)
    some_letter (s);
  else if (roll < 680)
    advance (s);
  else if (roll < 720)
    new_try (s, below (s, KEYS), (100 + below (s, 8000)) * ZP_MS);
  else if (roll < 725)
    {
      if (!s->harsh)
        return;
      TRACE (s, "member %zu restarts\n", m + 1);
      start_member (s, m);
      total.restarts++;
    }
  else if (roll < 745 && t < s->tries)
    {
      s->cut[t][m] = !s->cut[t][m];
      TRACE (s, "try %zu, member %zu: cut %d\n", t, m + 1, s->cut[t][m]);
    }
  else if (roll < 765 && t < s->tries)
    {
      s->try[t].frozen = !s->try[t].frozen;
      TRACE (s, "try %zu: frozen %d\n", t, s->try[t].frozen);
    }
  else if (roll < 770 && live)
    crash (s, t);
  else if (roll < 785 && live)
    {
      TRACE (s, "try %zu gives up\n", t);
      oc_attempt_refuse (s->try[t].a, ZP_STR ("no-capacity"), s->now);
      drain (s, t);
    }
  else if (roll < 900 && live)
    some_forward (s, t);
  else if (live)
    {
      TRACE (s, "tick try %zu\n", t);
      oc_attempt_tick (s->try[t].a, s->now);
      drain (s, t);
    }
}

/* Ends all faults; every try has to finish, with one answer.  */
static void
settle_all (struct sim *s)
{
  for (int round = 0; round < 130; round++)
    {
      while (s->letters > 0)
        deliver (s, s->letters - 1, false);
      s->now += 100 * ZP_MS;
      for (size_t t = 0; t < s->tries; t++)
        if (s->try[t].a)
          {
            if (s->try[t].in_flight)
              some_forward (s, t);
            oc_attempt_tick (s->try[t].a, s->now);
            drain (s, t);
          }
    }
  for (size_t t = 0; t < s->tries; t++)
    if (s->try[t].a)
      {
        expect (s, s->try[t].replies == 1, "every caller gets an answer");
        expect (s, oc_attempt_finished (s->try[t].a), "every try finishes");
        expect (s, oc_attempt_next_tick (s->try[t].a) == ZP_NEVER,
                "a finished try has no timer");
      }
}

/* Returns whether every rule held.  */
static bool
run_seed (uint32_t seed)
{
  struct sim *s = zp_alloc (sizeof *s);

  zp_rng_seed (&s->rng, seed);
  s->harsh = seed % 2 == 0;
  for (size_t i = 0; i < MEMBERS; i++)
    start_member (s, i);
  for (size_t k = 0; k < KEYS; k++)
    make_key (s, k);
  for (int i = 0; i < STEPS && !s->broken; i++)
    step (s);
  if (!s->broken)
    settle_all (s);
  bool ok = !s->broken;
  if (!ok)
    printf ("seed %u: %s; replay: test-once-steps %u 1\n%.*s", seed, s->broken,
            seed, ZP_ARG (s->trace));
  while (s->letters > 0)
    oc_msg_free (&s->bag[--s->letters].msg);
  for (size_t t = 0; t < s->tries; t++)
    oc_attempt_free (s->try[t].a);
  for (size_t i = 0; i < MEMBERS; i++)
    oc_member_free (s->member[i]);
  zp_buf_free (&s->trace);
  free (s);
  return ok;
}

static unsigned long first = 1, seeds = 3000;

/* Guards against an order of messages, restarts and pauses in which a key
   runs twice, a not-run is wrong, or a caller gets no answer.  */
static void
test_seeds (void)
{
  for (unsigned long i = 0; i < seeds; i++)
    CU_ASSERT_FATAL (run_seed ((uint32_t) (first + i)));
  printf ("%lu seeds: %d runs, %d own answers, %d repeated answers, %d "
          "not-run, %d may-have-run, %d restarts ",
          seeds, total.runs, total.own, total.repeated, total.not_run,
          total.may, total.restarts);
  if (seeds < 3000)
    return;
  CU_ASSERT (total.runs > 100 && total.own > 100 && total.repeated > 100);
  CU_ASSERT (total.not_run > 100 && total.may > 100 && total.restarts > 100);
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
