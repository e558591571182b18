#include "router-fake.h"

static void
note_stopped (void *self)
{
  *(bool *) self = true;
}

/* Sends a request for /board/N whose time is longer than the test.  */
static uint64_t
send_board (struct fixture *f, int n)
{
  char path[32];

  snprintf (path, sizeof path, "/board/%d", n);
  struct tk_msg *m = fixture_http (f, "GET", path, "");
  m->u.request.deadline = zp_clock_mono () + 30 * ZP_SEC;
  return fixture_send (f, m);
}

/* Guards against queued requests that get no answer when the process was paused
   over the end of a graceful shutdown.  */
static void
test_pause_over_the_end_of_a_stop (void)
{
  struct fixture f;
  uint64_t queued = 0;
  bool stopped = false, answered = false;

  fixture_open (&f);
  f.router->stopped = note_stopped;
  f.router->stopped_self = &stopped;
  for (int i = 0; i < 5; i++)
    queued = send_board (&f, i);
  CU_ASSERT_PTR_NOT_NULL_FATAL (fixture_forward (&f, 4));
  fixture_wait (&f, 100 * ZP_MS);
  st_stop_begin (&f.router->stop, zp_clock_mono () - 2 * ZP_STOP_TIMEOUT,
                 ZP_LOOKUP_TTL, ZP_STOP_TIMEOUT);
  while (!f.timed_out && !stopped)
    fixture_step (&f);
  for (size_t i = 0; i < f.front.len; i++)
    answered = answered
               || (f.front.msg[i]->kind == TK_HTTP_ANSWER
                   && f.front.msg[i]->u.answer.id == queued);
  CU_ASSERT (answered);
  fixture_close (&f);
}

static const struct zp_test tests[] = {
  { "a pause over the end of a stop", test_pause_over_the_end_of_a_stop },
};

TEST_MAIN ("router-paused", tests)
