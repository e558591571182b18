#include "harness.h"

#include "once/member.h"

static const struct oc_attempt_id A = { 10, 1, 1 }, B = { 11, 1, 1 };

static struct oc_member *
member (size_t limit)
{
  const struct oc_member_conf conf
      = { .id = 1, .incarnation = 5, .hash_seed = 3, .limit = limit };

  return oc_member_new (&conf, 0);
}

/* Lets M handle one message, and returns its answer.  The buffers of the
   answer are freed already.  */
static struct oc_answer
handle (struct oc_member *m, enum oc_msg_kind kind, struct oc_attempt_id who,
        const char *key, size_t body, zp_time now)
{
  struct oc_msg in = { .kind = kind,
                       .attempt = who,
                       .key = zp_buf_from (zp_str_from (key)) };
  struct oc_msg out;

  if (kind == OC_RECORD)
    {
      in.u.record = (struct oc_outcome){ .verdict = ZP_RAN,
                                         .whole = true,
                                         .status = 201 };
      for (size_t i = 0; i < body; i++)
        zp_buf_put (&in.u.record.body, ZP_STR ("b"));
    }
  oc_member_handle (m, &in, now, &out);
  struct oc_answer a = out.u.answer;
  CU_ASSERT (oc_attempt_id_eq (out.attempt, who));
  CU_ASSERT_EQUAL (a.in_reply_to, kind);
  oc_msg_free (&in);
  oc_msg_free (&out);
  return a;
}

/* The reply to a message; a record has a body of 3 bytes.  */
#define REPLY(kind, who, key, now) handle (m, kind, who, key, 3, now).reply

/* Guards against two grants of one key to different attempts.  */
static void
test_claim_and_record (void)
{
  struct oc_member *m = member (1 << 20);

  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, A, "1:5:1.k", 0), OC_GRANTED);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, A, "1:5:1.k", 0), OC_GRANTED);
  struct oc_answer a = handle (m, OC_CLAIM, B, "1:5:1.k", 0, 0);
  CU_ASSERT_EQUAL (a.reply, OC_TAKEN);
  CU_ASSERT (oc_attempt_id_eq (a.holder, A));
  CU_ASSERT_EQUAL (REPLY (OC_SEAL, B, "1:5:1.k", 0), OC_TAKEN);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, B, "1:5:1.other", 0), OC_GRANTED);
  CU_ASSERT_EQUAL (REPLY (OC_RECORD, A, "1:5:1.k", 0), OC_RECORDED);
  CU_ASSERT_EQUAL (REPLY (OC_RECORD, A, "1:5:1.k", 0), OC_RECORDED);
  a = handle (m, OC_CLAIM, B, "1:5:1.k", 0, 0);
  CU_ASSERT_EQUAL (a.reply, OC_FINISHED);
  CU_ASSERT (a.outcome.whole);
  CU_ASSERT_EQUAL (a.outcome.status, 201);
  CU_ASSERT_EQUAL (REPLY (OC_SEAL, A, "1:5:1.k", 0), OC_FINISHED);
  oc_member_free (m);
}

/* Guards against a grant after a seal.  */
static void
test_seal (void)
{
  struct oc_member *m = member (1 << 20);

  CU_ASSERT_EQUAL (REPLY (OC_SEAL, A, "1:5:1.free", 0), OC_SEALED);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, A, "1:5:1.free", 0), OC_SEALED);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, B, "1:5:1.free", 0), OC_SEALED);
  CU_ASSERT_EQUAL (REPLY (OC_SEAL, B, "1:5:1.free", 0), OC_SEALED);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, A, "1:5:1.own", 0), OC_GRANTED);
  CU_ASSERT_EQUAL (REPLY (OC_SEAL, A, "1:5:1.own", 0), OC_SEALED);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, A, "1:5:1.own", 0), OC_SEALED);
  /* An outcome replaces a seal, which only a minority can have granted.  */
  CU_ASSERT_EQUAL (REPLY (OC_RECORD, B, "1:5:1.own", 0), OC_RECORDED);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, A, "1:5:1.own", 0), OC_FINISHED);
  oc_member_free (m);
}

/* Guards against a grant of a key whose record was lost by a restart or has
   expired, at the first and the last microsecond of the time for which it is
   kept.  */
static void
test_abstention (void)
{
  struct oc_member *m = member (1 << 20);
  zp_time last = ZP_ONCE_GENERATIONS * ZP_ONCE_GENERATION - 1;
  static const struct
  {
    const char *key;
    enum oc_abstain why;
  } refused[] = {
    { "1:4:1.k", OC_INCARNATION }, { "1:6:1.k", OC_INCARNATION },
    { "2:5:1.k", OC_NOT_MEMBER },  { "1:5:1,1:5:1,2:1:1.k", OC_NOT_MEMBER },
    { "1:5:0.k", OC_GENERATION },  { "1:5:2.k", OC_GENERATION }
  };

  for (size_t i = 0; i < sizeof refused / sizeof refused[0]; i++)
    for (int kind = OC_CLAIM; kind <= OC_RECORD; kind++)
      {
        struct oc_answer a
            = handle (m, (enum oc_msg_kind) kind, A, refused[i].key, 0, 0);
        CU_ASSERT_EQUAL (a.reply, OC_ABSTAINED);
        CU_ASSERT_EQUAL (a.why, refused[i].why);
      }
  CU_ASSERT_EQUAL (oc_member_keys (m), 0);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, A, "1:5:1.k", 0), OC_GRANTED);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, B, "1:5:1.k", last), OC_TAKEN);
  CU_ASSERT_EQUAL (oc_member_self (m, last).generation, ZP_ONCE_GENERATIONS);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, B, "1:5:1.k", last + 1), OC_ABSTAINED);
  CU_ASSERT_EQUAL (oc_member_keys (m), 0);
  /* When the time goes back, an expired key is not granted again.  */
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, B, "1:5:1.k", last), OC_ABSTAINED);
  CU_ASSERT_EQUAL (REPLY (OC_CLAIM, B, "1:5:16.k", last + 1), OC_GRANTED);
  oc_member_tick (m, 1000 * ZP_ONCE_GENERATION);
  CU_ASSERT_EQUAL (oc_member_keys (m), 0);
  oc_member_free (m);
}

/* Guards against a full table that loses a key, exceeds its limit, or can seal
   no key any more.  */
static void
test_memory_limit (void)
{
  size_t limit = 256 * 1024;
  struct oc_member *m = member (limit);
  size_t empty = oc_member_bytes (m);
  char key[64];
  int granted = 0;

  for (int i = 0; i < 5000; i++)
    {
      snprintf (key, sizeof key, "1:5:1.key-%d", i);
      struct oc_answer a = handle (m, OC_CLAIM, A, key, 0, 0);
      CU_ASSERT (oc_member_bytes (m) <= limit);
      if (a.reply == OC_GRANTED)
        granted++;
      else
        CU_ASSERT_EQUAL (a.why, OC_FULL);
    }
  CU_ASSERT (granted > 500 && granted < 5000);
  for (int i = 0; i < granted; i++)
    {
      snprintf (key, sizeof key, "1:5:1.key-%d", i);
      CU_ASSERT_EQUAL (REPLY (OC_CLAIM, B, key, 0), OC_TAKEN);
    }
  CU_ASSERT_EQUAL (REPLY (OC_SEAL, A, "1:5:1.key-4999", 0), OC_SEALED);
  /* No memory for the answer: the key is still finished.  */
  CU_ASSERT_EQUAL (REPLY (OC_RECORD, A, "1:5:1.key-0", 0), OC_RECORDED);
  struct oc_answer a = handle (m, OC_CLAIM, B, "1:5:1.key-0", 0, 0);
  CU_ASSERT_EQUAL (a.reply, OC_FINISHED);
  CU_ASSERT_FALSE (a.outcome.whole);
  for (int i = 0; i < 5000; i++)
    {
      snprintf (key, sizeof key, "1:5:1.seal-%d", i);
      handle (m, OC_SEAL, A, key, 0, 0);
    }
  CU_ASSERT (oc_member_bytes (m) <= limit);
  oc_member_tick (m, ZP_ONCE_GENERATIONS * ZP_ONCE_GENERATION);
  CU_ASSERT_EQUAL (oc_member_bytes (m), empty);
  oc_member_free (m);
}

static const struct zp_test tests[] = {
  { "a key is granted to one attempt", test_claim_and_record },
  { "a sealed key is granted to no attempt", test_seal },
  { "a member abstains on keys whose record can be lost", test_abstention },
  { "only new keys are refused at the memory limit", test_memory_limit }
};

TEST_MAIN ("once-member", tests)
