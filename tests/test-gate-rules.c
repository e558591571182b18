/* Rules of the platform as properties of the gate, over random events from
   seeds: HOME (a request runs in a home of its route) and BUDGET (no more
   attempts than its route allows, and no more time than is left).  */

#include "gate-fixture.h"
#include "seeds.h"

#include "base/log.h"

#define SEEDS 60
#define STEPS 60 /* events of one seed */
#define REQUESTS_MAX (STEPS + 1)
#define SERVERS 9 /* 3 in each of the regions a, b and c */
#define ATTEMPTS 3

struct request
{
  zp_time deadline;
  unsigned sends;
  bool under_way;
  uint64_t forward; /* id of the attempt */
};

static struct request request[REQUESTS_MAX];
static uint64_t requests, sequence;
static const char *homes; /* "ab": regions a and b */

static void
report (uint32_t i, enum tk_server_state state)
{
  struct tk_msg *m = tk_msg_new (TK_SERVER);
  struct tk_server *s = &m->u.server;

  *s = (struct tk_server){ .service = "svc",
                           .slots = 4,
                           .state = state,
                           .born_ms = 1000,
                           .seq = ++sequence };
  snprintf (s->failure_domain, sizeof s->failure_domain, "%c-1", 'a' + i % 3);
  snprintf (s->id, sizeof s->id, "i-%u", i);
  snprintf (s->address, sizeof s->address, "10.0.%u.%u:80", i % 3, i);
  tk_send (&f.gate->task, m);
}

static void
send_one (struct zp_rng *rng)
{
  zp_time time = (50 + zp_rng_below (rng, 3000)) * ZP_MS;
  zp_time left = time < 2 * ZP_SEC ? time : 2 * ZP_SEC; /* of the route */

  requests++;
  send_request_for (requests, time);
  run_pending ();
  /* The gate has received the request by now.  */
  request[requests] = (struct request){ .deadline = zp_clock_mono () + left };
}

/* Ends an attempt that is under way, in one of the ways.  */
static void
end_one (struct zp_rng *rng)
{
  static const struct
  {
    enum tk_forward_end end;
    unsigned status;
    enum zp_verdict verdict;
  } way[] = { { TK_END_ANSWER, 200, ZP_RAN },
              { TK_END_ANSWER, 500, ZP_RAN },
              { TK_END_ANSWER, 503, ZP_NOT_RUN },
              { TK_END_NO_CONNECT, 0, ZP_NOT_RUN },
              { TK_END_LOST, 0, ZP_MAY_HAVE_RUN } };
  uint64_t at = 1 + zp_rng_below (rng, (uint32_t) requests + 1);
  uint32_t i = zp_rng_below (rng, sizeof way / sizeof way[0]);

  while (at <= requests && !request[at].under_way)
    at++;
  if (at > requests)
    return;
  struct tk_msg *m = tk_msg_new (TK_FORWARD_DONE);
  m->u.done.id = request[at].forward;
  m->u.done.end = way[i].end;
  m->u.done.status = way[i].status;
  m->u.done.verdict = way[i].verdict;
  m->u.done.stamped = way[i].end == TK_END_ANSWER;
  request[at].under_way = false;
  TRACE ("request %llu ends, way %u\n", (unsigned long long) at, i);
  tk_send (&f.gate->task, m);
}

/* Checks the attempts that the gate has sent, and forgets them.  */
static bool
check_sends (void)
{
  bool ok = true;

  for (size_t i = 0; i < f.sends; i++)
    {
      const struct tk_forward *w = &f.sent[i]->u.forward;
      unsigned long long n = strtoull (w->request_id.ptr + 2, NULL, 10);
      struct request *r = &request[n];
      char region = (char) ('a' + (w->address[5] - '0'));
      TRACE ("request %llu to %s\n", n, w->address);
      r->sends++;
      r->under_way = true;
      r->forward = w->id;
      ok = ok && strchr (homes, region) && r->sends <= ATTEMPTS
           && w->deadline <= r->deadline;
      tk_msg_free (f.sent[i]);
    }
  for (size_t i = 0; i < f.answers; i++)
    tk_msg_free (f.answer[i]);
  f.sends = f.answers = 0;
  return ok;
}

static bool
rules_hold (uint32_t seed)
{
  static const char *const documents[][2] = {
    { "7 in a", "a" },    { "7 in b", "b" },       { "7 in b c", "bc" },
    { "7 in a b", "ab" }, { "7 in a b c", "abc" }, { "7", "abc" },
    { "7 once", "abc" },
  };
  struct zp_rng rng;
  bool ok = true;
  unsigned sends = 0;

  zp_rng_seed (&rng, seed);
  uint32_t d = zp_rng_below (&rng, sizeof documents / sizeof documents[0]);
  homes = documents[d][1];
  requests = 0;
  set_up (documents[d][0]);
  TRACE ("document \"%s\"\n", documents[d][0]);
  for (int step = 0; ok && step < STEPS; step++)
    {
      if (chance (&rng, 0.3))
        report (zp_rng_below (&rng, SERVERS),
                chance (&rng, 0.7)   ? TK_SERVER_READY
                : chance (&rng, 0.5) ? TK_SERVER_DRAINING
                                     : TK_SERVER_GONE);
      else if (chance (&rng, 0.5))
        send_one (&rng);
      else
        end_one (&rng);
      run_pending ();
      sends += (unsigned) f.sends;
      ok = check_sends ();
    }
  TRACE ("%u attempts of %llu requests\n", sends,
         (unsigned long long) requests);
  tear_down ();
  return ok;
}

static void
test_rules_hold (void)
{
  zp_log_open ("test", ZP_LOG_ERR, STDERR_FILENO);
  CU_ASSERT_EQUAL (seeds_run (rules_hold, SEEDS), 0);
}

static const struct zp_test tests[]
    = { { "homes, attempts and deadlines", test_rules_hold } };

TEST_MAIN ("gate-rules", tests)
