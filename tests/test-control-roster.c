/* Tests when the report of a leaving server is acknowledged and when its leave
   is proposed for the log.  */

#include "harness.h"

#include "control/roster.h"

static struct ct_roster roster;
static struct ct_report_wait waits[2];

static void
set_up (void)
{
  roster = (struct ct_roster){ .wait = waits, .waits = 2 };
  waits[0]
      = (struct ct_report_wait){ .report_id = 1,
                                 .request_id = 11,
                                 .arrived = 10 * ZP_SEC,
                                 .leave = { .server = "a", .left_ms = 5000 } };
  waits[1] = (struct ct_report_wait){
    .report_id = 2, .request_id = 12, .arrived = 10 * ZP_SEC, .durable = true
  };
}

static uint64_t
next_acknowledged (zp_time contact, zp_time now)
{
  struct ct_report_wait out;
  bool acknowledged;

  return ct_roster_next_outcome (&roster, contact, now, &out, &acknowledged)
                 && acknowledged
             ? out.request_id
             : 0;
}

/* Guards against an acknowledgement of a leave that a restart would forget.  A
   server that is draining reports on, so that its state need not be in the
   log.  */
static void
test_acknowledgement (void)
{
  const struct ti_leave other = { .server = "b", .left_ms = 9000 },
                        earlier = { .server = "a", .left_ms = 4999 },
                        own = { .server = "a", .left_ms = 5000 };
  zp_time now = 10 * ZP_SEC + 300 * ZP_MS;

  set_up ();
  ct_roster_report_settled (&roster, 1);
  CU_ASSERT_EQUAL (next_acknowledged (now, now), 0);
  ct_roster_left (&roster, &other);
  ct_roster_left (&roster, &earlier);
  CU_ASSERT_EQUAL (next_acknowledged (now, now), 0);
  ct_roster_left (&roster, &own);
  CU_ASSERT_EQUAL (next_acknowledged (10 * ZP_SEC - 1, now), 0);
  CU_ASSERT_EQUAL (next_acknowledged (now, now), 11);
  CU_ASSERT_EQUAL (next_acknowledged (now, now), 0);
  ct_roster_report_settled (&roster, 2);
  CU_ASSERT_EQUAL (next_acknowledged (now, now), 12);
}

/* Guards against a server that waits for an answer without end.  */
static void
test_timeout (void)
{
  struct ct_report_wait out;
  bool acknowledged;
  zp_time now = 10 * ZP_SEC + CT_REPORT_ACK_TIMEOUT;

  set_up ();
  ct_roster_report_settled (&roster, 1);
  CU_ASSERT (ct_roster_next_outcome (&roster, now, now, &out, &acknowledged));
  CU_ASSERT (!acknowledged);
}

/* Guards against a leave that is proposed once only, although its message or
   the leader was lost, and against one that is proposed without a pause.  */
static void
test_proposals (void)
{
  struct ti_leave out;
  zp_time now = 10 * ZP_SEC;

  set_up ();
  CU_ASSERT (ct_roster_next_leave (&roster, now, &out));
  CU_ASSERT_STRING_EQUAL (out.server, "a");
  CU_ASSERT (!ct_roster_next_leave (&roster, now, &out));
  CU_ASSERT (!ct_roster_next_leave (&roster, now + CT_LEAVE_RETRY - 1, &out));
  CU_ASSERT (ct_roster_next_leave (&roster, now + CT_LEAVE_RETRY, &out));
  const struct ti_leave own = { .server = "a", .left_ms = 5000 };
  ct_roster_left (&roster, &own);
  CU_ASSERT (!ct_roster_next_leave (&roster, now + 60 * ZP_SEC, &out));
}

static const struct zp_test tests[]
    = { { "when a leave is acknowledged", test_acknowledgement },
        { "a leave that is not acknowledged", test_timeout },
        { "when a leave is proposed", test_proposals } };

TEST_MAIN ("control-roster", tests)
