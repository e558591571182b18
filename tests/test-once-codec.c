#include "harness.h"

#include "base/rng.h"
#include "once/codec.h"
#include "wire/frame.h"

static const struct oc_attempt_id A = { 1, UINT64_MAX, 3 }, B = { 4, 5, 6 };

static struct oc_outcome
outcome (size_t body)
{
  struct oc_outcome o = { .verdict = ZP_RAN, .whole = true, .status = 201 };

  zp_buf_put (&o.content_type, ZP_STR ("application/json"));
  for (size_t i = 0; i < body; i++)
    zp_buf_put (&o.body, ZP_STR ("\0"));
  return o;
}

/* Encodes and decodes M, and compares the two.  */
static void
check (const struct oc_msg *m, uint8_t kind)
{
  struct zp_buf b = { .ptr = NULL };
  struct oc_msg back;
  struct zp_err err = { .code = ZP_OK };

  CU_ASSERT_EQUAL (oc_encode (m, &b), kind);
  CU_ASSERT (b.len <= ZP_FRAME_MAX);
  CU_ASSERT_FATAL (oc_decode (kind, zp_str_of (&b), &back, &err));
  CU_ASSERT_EQUAL (back.kind, m->kind);
  CU_ASSERT (oc_attempt_id_eq (back.attempt, m->attempt));
  CU_ASSERT (zp_str_eq (zp_str_of (&back.key), zp_str_of (&m->key)));
  const struct oc_outcome *x = NULL, *y = NULL;
  if (m->kind == OC_RECORD)
    x = &m->u.record, y = &back.u.record;
  if (m->kind == OC_ANSWER)
    {
      x = &m->u.answer.outcome, y = &back.u.answer.outcome;
      CU_ASSERT_EQUAL (back.u.answer.in_reply_to, m->u.answer.in_reply_to);
      CU_ASSERT_EQUAL (back.u.answer.reply, m->u.answer.reply);
      CU_ASSERT_EQUAL (back.u.answer.why, m->u.answer.why);
      CU_ASSERT (oc_attempt_id_eq (back.u.answer.holder, m->u.answer.holder));
    }
  if (x)
    {
      CU_ASSERT_EQUAL (x->verdict, y->verdict);
      CU_ASSERT_EQUAL (x->whole, y->whole);
      CU_ASSERT_EQUAL (x->status, y->status);
      CU_ASSERT (zp_str_eq (zp_str_of (&x->body), zp_str_of (&y->body)));
      CU_ASSERT (zp_str_eq (zp_str_of (&x->content_type),
                            zp_str_of (&y->content_type)));
    }
  oc_msg_free (&back);
  /* Guards against reads past the end of a message that was truncated or
     changed.  */
  struct zp_rng rng;
  zp_rng_seed (&rng, 1);
  for (uint32_t i = 0; i < 300; i++)
    {
      struct zp_buf c = zp_buf_from (zp_str_of (&b));
      c.len = zp_rng_below (&rng, (uint32_t) c.len + 1);
      if (c.len > 0)
        c.ptr[zp_rng_below (&rng, (uint32_t) c.len)]
            = (char) zp_rng_below (&rng, 256);
      if (oc_decode (kind, zp_str_of (&c), &back, &err))
        oc_msg_free (&back);
      zp_buf_free (&c);
    }
  zp_buf_free (&b);
}

/* Guards against fields that are lost when a message is encoded and decoded.
 */
static void
test_encode_and_decode (void)
{
  for (int kind = OC_CLAIM; kind <= OC_RECORD; kind++)
    {
      static const uint8_t frame[] = { WI_CLAIM, WI_SEAL, WI_RECORD };
      struct oc_msg m = { .kind = (enum oc_msg_kind) kind, .attempt = A };
      zp_buf_put (&m.key, ZP_STR ("1:1:1.k"));
      if (kind == OC_RECORD)
        m.u.record = outcome (ZP_ONCE_BODY_MAX);
      check (&m, frame[kind]);
      oc_msg_free (&m);
      for (int r = OC_GRANTED; r <= OC_ABSTAINED; r++)
        {
          struct oc_msg a
              = { .kind = OC_ANSWER,
                  .attempt = A,
                  .u.answer = { .in_reply_to = (enum oc_msg_kind) kind,
                                .reply = (enum oc_reply) r } };
          zp_buf_put (&a.key, ZP_STR ("1:1:1.k"));
          if (r == OC_TAKEN || r == OC_FINISHED)
            a.u.answer.holder = B;
          if (r == OC_FINISHED)
            a.u.answer.outcome = outcome (5);
          if (r == OC_ABSTAINED)
            a.u.answer.why = OC_FULL;
          check (&a, WI_CLAIM_ANSWER);
          oc_msg_free (&a);
        }
    }
}

/* Guards against a peer that makes a member store more than its limits allow,
   or record the verdict not-run.  */
static void
test_bad_messages_are_refused (void)
{
  struct oc_msg m = { .kind = OC_RECORD, .attempt = A }, back;
  struct zp_buf b = { .ptr = NULL };
  struct zp_err err;

  CU_ASSERT_FALSE (oc_decode (WI_CLAIM, ZP_STR (""), &back, &err));
  CU_ASSERT_FALSE (oc_decode (WI_CLAIM, ZP_STR ("\xff\xff"), &back, &err));
  CU_ASSERT_EQUAL (err.code, ZP_ECORRUPT);
  CU_ASSERT_FALSE (oc_decode (WI_HELLO, ZP_STR (""), &back, &err));
  zp_buf_put (&m.key, ZP_STR ("k"));
  m.u.record = outcome (ZP_ONCE_BODY_MAX + 1);
  oc_encode (&m, &b);
  CU_ASSERT_FALSE (oc_decode (WI_RECORD, zp_str_of (&b), &back, &err));
  CU_ASSERT_EQUAL (err.code, ZP_ELIMIT);
  zp_buf_clear (&b);
  m.u.record.body.len = 3;
  m.u.record.verdict = ZP_NOT_RUN;
  oc_encode (&m, &b);
  CU_ASSERT_FALSE (oc_decode (WI_RECORD, zp_str_of (&b), &back, &err));
  /* A record that is decoded as an answer: the field numbers are the same, the
     fields are not.  */
  CU_ASSERT_FALSE (oc_decode (WI_CLAIM_ANSWER, zp_str_of (&b), &back, &err));
  zp_buf_clear (&b);
  for (int i = 0; i < ZP_KEY_MAX; i++)
    zp_buf_put (&m.key, ZP_STR ("k"));
  m.u.record.verdict = ZP_RAN;
  oc_encode (&m, &b);
  CU_ASSERT_FALSE (oc_decode (WI_RECORD, zp_str_of (&b), &back, &err));
  oc_msg_free (&m);
  zp_buf_free (&b);
}

static const struct zp_test tests[]
    = { { "every message is the same after encoding and decoding",
          test_encode_and_decode },
        { "bad messages are refused", test_bad_messages_are_refused } };

TEST_MAIN ("once-codec", tests)
