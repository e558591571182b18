#include "harness.h"

#include "once/attempt.h"
#include "once/member.h"

#define KEY "1:1:1,2:1:1,3:1:1.k"
#define DEADLINE (2000 * ZP_MS)

/* The three members of the home of KEY; a message to one that is not up is
   lost.  */
struct net
{
  struct oc_member *member[3];
  bool up[3];
};

/* The actions that one attempt has emitted.  */
struct counts
{
  int sent, forwards, answers, refusals;
  enum zp_verdict verdict;
  char reason[ZP_NAME_MAX];
  struct zp_buf body;
};

static void
net_open (struct net *n)
{
  for (uint64_t i = 0; i < 3; i++)
    {
      const struct oc_member_conf conf
          = { .id = i + 1, .incarnation = 1, .limit = 1 << 20 };
      n->member[i] = oc_member_new (&conf, 0);
      n->up[i] = true;
    }
}

static void
net_close (struct net *n)
{
  for (int i = 0; i < 3; i++)
    oc_member_free (n->member[i]);
}

static struct oc_attempt *
attempt (uint64_t number, zp_time now, zp_time deadline)
{
  struct oc_home h;

  CU_ASSERT (oc_key_parse (ZP_STR (KEY), &h, NULL));
  return oc_attempt_new ((struct oc_attempt_id){ 9, 1, number }, ZP_STR (KEY),
                         &h, now, deadline);
}

/* Carries out the actions of A, and delivers the answers of the members to it,
   until no action is left.  */
static void
deliver_all (struct net *n, struct oc_attempt *a, zp_time now,
             struct counts *s)
{
  struct oc_action *o;

  while ((o = oc_attempt_next_action (a)))
    {
      struct oc_msg back;
      size_t i;

      switch (o->kind)
        {
        case OC_SEND:
          s->sent++;
          i = (size_t) o->u.send.member - 1;
          if (!n->up[i])
            break;
          oc_member_handle (n->member[i], &o->u.send.msg, now, &back);
          oc_attempt_receive (a, i + 1, &back, now);
          oc_msg_free (&back);
          break;
        case OC_FORWARD:
          s->forwards++;
          break;
        case OC_ANSWERED:
          s->answers++;
          zp_buf_clear (&s->body);
          zp_buf_put (&s->body, zp_str_of (&o->u.answer.body));
          break;
        case OC_REFUSED:
          s->refusals++;
          s->verdict = o->u.refusal.verdict;
          memcpy (s->reason, o->u.refusal.reason, sizeof s->reason);
          break;
        }
      oc_action_free (o);
    }
}

static void
tick (struct net *n, struct oc_attempt *a, zp_time now, struct counts *s)
{
  oc_attempt_tick (a, now);
  deliver_all (n, a, now, s);
}

/* Ends the forward of A with verdict V and a body of BODY bytes.  */
static void
end_forward (struct oc_attempt *a, enum zp_verdict v, size_t body, zp_time now)
{
  struct oc_outcome o = { .verdict = v, .whole = true, .status = 200 };

  for (size_t i = 0; i < body; i++)
    zp_buf_put (&o.body, ZP_STR ("b"));
  oc_attempt_end_forward (a, &o, now);
}

/* Guards against a request that waits for a member that is down, and against
   a resent request that runs again or gets another answer.  */
static void
test_resend_gets_the_outcome (void)
{
  struct net n;
  struct counts s = { 0 }, t = { 0 };

  net_open (&n);
  n.up[1] = false;
  struct oc_attempt *a = attempt (1, 0, DEADLINE);
  deliver_all (&n, a, 0, &s);
  CU_ASSERT_EQUAL (s.forwards, 1);
  CU_ASSERT (oc_attempt_begin_forward (a, 0));
  CU_ASSERT_FALSE (oc_attempt_begin_forward (a, 0));
  struct oc_attempt *b = attempt (2, ZP_MS, DEADLINE);
  deliver_all (&n, b, ZP_MS, &t);
  CU_ASSERT_EQUAL (t.forwards + t.answers + t.refusals, 0);
  end_forward (a, ZP_RAN, 5, 2 * ZP_MS);
  deliver_all (&n, a, 2 * ZP_MS, &s);
  CU_ASSERT_EQUAL (s.answers, 1);
  tick (&n, b, oc_attempt_next_tick (b), &t);
  CU_ASSERT_EQUAL (t.answers, 1);
  CU_ASSERT_EQUAL (t.body.len, 5);
  CU_ASSERT (oc_attempt_finished (b));
  /* The member that was down gets the record when it is up again.  */
  CU_ASSERT_FALSE (oc_attempt_finished (a));
  n.up[1] = true;
  tick (&n, a, oc_attempt_next_tick (a), &s);
  CU_ASSERT (oc_attempt_finished (a));
  oc_attempt_free (a);
  oc_attempt_free (b);
  zp_buf_free (&s.body);
  zp_buf_free (&t.body);
  net_close (&n);
}

/* Guards against a refusal with not-run while another attempt can still get
   the quorum, and against a may-have-run when a quorum could have sealed the
   key.  */
static void
test_refusal_seals_first (void)
{
  struct net n;
  struct counts s = { 0 }, t = { 0 };

  net_open (&n);
  n.up[0] = n.up[1] = false;
  struct oc_attempt *a = attempt (1, 0, DEADLINE);
  deliver_all (&n, a, 0, &s);
  oc_attempt_refuse (a, ZP_STR ("no-capacity"), 0);
  deliver_all (&n, a, 0, &s);
  CU_ASSERT_EQUAL (s.refusals, 0);
  n.up[0] = true;
  zp_time now = oc_attempt_next_tick (a);
  tick (&n, a, now, &s);
  CU_ASSERT_EQUAL (s.refusals, 1);
  CU_ASSERT_EQUAL (s.verdict, ZP_NOT_RUN);
  CU_ASSERT_STRING_EQUAL (s.reason, "no-capacity");
  n.up[1] = true;
  struct oc_attempt *b = attempt (2, now, now + DEADLINE);
  deliver_all (&n, b, now, &t);
  CU_ASSERT_EQUAL (t.forwards, 0);
  CU_ASSERT_EQUAL (t.verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (t.refusals, 1);
  oc_attempt_free (a);
  oc_attempt_free (b);
  net_close (&n);
}

/* Guards against a caller that waits past its deadline, and against resends
   that do not end or are too many.  */
static void
test_no_quorum (void)
{
  struct net n;
  struct counts s = { 0 };
  zp_time now = 0;

  net_open (&n);
  n.up[0] = n.up[1] = false;
  struct oc_attempt *a = attempt (1, 0, DEADLINE);
  deliver_all (&n, a, 0, &s);
  while (!oc_attempt_finished (a) && now < ZP_DEADLINE_MAX)
    {
      if (s.refusals == 0)
        CU_ASSERT (now < DEADLINE);
      now = oc_attempt_next_tick (a);
      tick (&n, a, now, &s);
    }
  CU_ASSERT_EQUAL (s.refusals, 1);
  CU_ASSERT_EQUAL (s.verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (s.forwards, 0);
  CU_ASSERT (now <= DEADLINE + OC_LINGER);
  CU_ASSERT (s.sent < 40);
  oc_attempt_free (a);
  net_close (&n);
}

/* Guards against a daemon that was paused and forwards after the deadline of
   its caller, and against a not-run for a request that is at a server.  */
static void
test_near_deadline (void)
{
  struct net n;
  struct counts s = { 0 };

  net_open (&n);
  struct oc_attempt *a = attempt (1, 0, DEADLINE);
  deliver_all (&n, a, DEADLINE, &s);
  CU_ASSERT_EQUAL (s.forwards, 0);
  CU_ASSERT_FALSE (oc_attempt_begin_forward (a, DEADLINE));
  CU_ASSERT_EQUAL (s.refusals, 1);
  oc_attempt_free (a);
  net_close (&n);

  net_open (&n);
  s = (struct counts){ 0 };
  a = attempt (2, 0, DEADLINE);
  deliver_all (&n, a, 0, &s);
  CU_ASSERT_FALSE (oc_attempt_begin_forward (a, DEADLINE - ZP_MS));
  oc_attempt_free (a);
  net_close (&n);

  net_open (&n);
  s = (struct counts){ 0 };
  a = attempt (3, 0, DEADLINE);
  deliver_all (&n, a, 0, &s);
  CU_ASSERT (oc_attempt_begin_forward (a, 0));
  oc_attempt_refuse (a, ZP_STR ("late"), 0);
  tick (&n, a, DEADLINE, &s);
  CU_ASSERT_EQUAL (s.refusals, 1);
  CU_ASSERT_EQUAL (s.verdict, ZP_MAY_HAVE_RUN);
  end_forward (a, ZP_RAN, 1, DEADLINE + 1);
  deliver_all (&n, a, DEADLINE + 1, &s);
  CU_ASSERT_EQUAL (s.answers, 0);
  CU_ASSERT (oc_attempt_finished (a));
  struct counts t = { 0 };
  struct oc_attempt *b = attempt (4, DEADLINE, 2 * DEADLINE);
  deliver_all (&n, b, DEADLINE, &t);
  CU_ASSERT_EQUAL (t.answers, 1);
  oc_attempt_free (a);
  oc_attempt_free (b);
  zp_buf_free (&t.body);
  net_close (&n);
}

/* Guards against a second server that is tried without the verdict not-run of
   the first, and against a resent request that gets a part of an answer that
   was too large to record.  */
static void
test_other_server_and_large_answer (void)
{
  struct net n;
  struct counts s = { 0 }, t = { 0 };

  net_open (&n);
  struct oc_attempt *a = attempt (1, 0, DEADLINE);
  deliver_all (&n, a, 0, &s);
  CU_ASSERT (oc_attempt_begin_forward (a, 0));
  end_forward (a, ZP_NOT_RUN, 0, ZP_MS);
  CU_ASSERT (oc_attempt_begin_forward (a, ZP_MS));
  end_forward (a, ZP_RAN, ZP_ONCE_BODY_MAX + 1, ZP_MS);
  deliver_all (&n, a, ZP_MS, &s);
  CU_ASSERT_EQUAL (s.answers, 1);
  CU_ASSERT_EQUAL (s.body.len, ZP_ONCE_BODY_MAX + 1);
  struct oc_attempt *b = attempt (2, 0, DEADLINE);
  deliver_all (&n, b, 0, &t);
  CU_ASSERT_EQUAL (t.answers, 0);
  CU_ASSERT_EQUAL (t.verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_STRING_EQUAL (t.reason, "answer-not-kept");
  oc_attempt_free (a);
  oc_attempt_free (b);
  zp_buf_free (&s.body);
  net_close (&n);
}

static const struct zp_test tests[]
    = { { "a resent request gets the recorded outcome",
          test_resend_gets_the_outcome },
        { "a refusal seals the key first", test_refusal_seals_first },
        { "without a quorum the answer is may-have-run", test_no_quorum },
        { "an attempt does not forward near its deadline",
          test_near_deadline },
        { "another server after not-run, large answers",
          test_other_server_and_large_answer } };

TEST_MAIN ("once-attempt", tests)
