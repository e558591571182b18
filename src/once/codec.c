#include "once/codec.h"

#include <assert.h>
#include <stdlib.h>

#include <protobuf-c/protobuf-c.h>

#include "wire/bytes.h"
#include "wire/frame.h"
#include "wire/once.pb-c.h"

/* Encoding.  */

static ProtobufCBinaryData
encode_bytes (const struct zp_buf *b)
{
  return (ProtobufCBinaryData){ .len = b->len, .data = (uint8_t *) b->ptr };
}

static Wi__OnceAttempt
encode_attempt (const struct oc_attempt_id *id)
{
  Wi__OnceAttempt p = WI__ONCE_ATTEMPT__INIT;

  p.daemon = id->daemon;
  p.incarnation = id->incarnation;
  p.number = id->number;
  return p;
}

static Wi__OnceVerdict
encode_verdict (enum zp_verdict v)
{
  switch (v)
    {
    case ZP_NOT_RUN:
      return WI__ONCE_VERDICT__ONCE_NOT_RUN;
    case ZP_MAY_HAVE_RUN:
      return WI__ONCE_VERDICT__ONCE_MAY_HAVE_RUN;
    case ZP_RAN:
      return WI__ONCE_VERDICT__ONCE_RAN;
    }
  assert (false);
  return WI__ONCE_VERDICT__ONCE_MAY_HAVE_RUN;
}

static Wi__OnceOutcome
encode_outcome (const struct oc_outcome *o)
{
  Wi__OnceOutcome p = WI__ONCE_OUTCOME__INIT;

  p.verdict = encode_verdict (o->verdict);
  p.whole = o->whole;
  p.status = o->status;
  p.content_type = encode_bytes (&o->content_type);
  p.body = encode_bytes (&o->body);
  return p;
}

static Wi__OnceQuestion
encode_question (enum oc_msg_kind kind)
{
  switch (kind)
    {
    case OC_CLAIM:
      return WI__ONCE_QUESTION__ONCE_TO_CLAIM;
    case OC_SEAL:
      return WI__ONCE_QUESTION__ONCE_TO_SEAL;
    case OC_RECORD:
      return WI__ONCE_QUESTION__ONCE_TO_RECORD;
    case OC_ANSWER:
      break;
    }
  assert (false);
  return WI__ONCE_QUESTION__ONCE_TO_NONE;
}

static Wi__OnceReply
encode_reply (enum oc_reply r)
{
  switch (r)
    {
    case OC_GRANTED:
      return WI__ONCE_REPLY__ONCE_GRANTED;
    case OC_TAKEN:
      return WI__ONCE_REPLY__ONCE_TAKEN;
    case OC_FINISHED:
      return WI__ONCE_REPLY__ONCE_FINISHED;
    case OC_SEALED:
      return WI__ONCE_REPLY__ONCE_SEALED;
    case OC_RECORDED:
      return WI__ONCE_REPLY__ONCE_RECORDED;
    case OC_ABSTAINED:
      return WI__ONCE_REPLY__ONCE_ABSTAINED;
    }
  assert (false);
  return WI__ONCE_REPLY__ONCE_NONE;
}

static Wi__OnceAbstain
encode_abstain (enum oc_abstain why)
{
  switch (why)
    {
    case OC_NOT_MEMBER:
      return WI__ONCE_ABSTAIN__ONCE_NOT_MEMBER;
    case OC_INCARNATION:
      return WI__ONCE_ABSTAIN__ONCE_INCARNATION;
    case OC_GENERATION:
      return WI__ONCE_ABSTAIN__ONCE_GENERATION;
    case OC_FULL:
      return WI__ONCE_ABSTAIN__ONCE_FULL;
    }
  assert (false);
  return WI__ONCE_ABSTAIN__ONCE_NOT_MEMBER;
}

uint8_t
oc_encode (const struct oc_msg *m, struct zp_buf *out)
{
  Wi__OnceAttempt attempt = encode_attempt (&m->attempt);
  Wi__OnceClaim claim = WI__ONCE_CLAIM__INIT;
  Wi__OnceSeal seal = WI__ONCE_SEAL__INIT;
  Wi__OnceRecord record = WI__ONCE_RECORD__INIT;
  Wi__OnceAnswer answer = WI__ONCE_ANSWER__INIT;
  Wi__OnceOutcome outcome;
  Wi__OnceAttempt holder;

  switch (m->kind)
    {
    case OC_CLAIM:
      claim.attempt = &attempt;
      claim.key = encode_bytes (&m->key);
      wi_pack (out, &claim.base);
      return WI_CLAIM;
    case OC_SEAL:
      seal.attempt = &attempt;
      seal.key = encode_bytes (&m->key);
      wi_pack (out, &seal.base);
      return WI_SEAL;
    case OC_RECORD:
      outcome = encode_outcome (&m->u.record);
      record.attempt = &attempt;
      record.key = encode_bytes (&m->key);
      record.outcome = &outcome;
      wi_pack (out, &record.base);
      return WI_RECORD;
    case OC_ANSWER:
      outcome = encode_outcome (&m->u.answer.outcome);
      holder = encode_attempt (&m->u.answer.holder);
      answer.attempt = &attempt;
      answer.key = encode_bytes (&m->key);
      answer.to = encode_question (m->u.answer.in_reply_to);
      answer.reply = encode_reply (m->u.answer.reply);
      answer.why = encode_abstain (m->u.answer.why);
      if (m->u.answer.reply == OC_TAKEN || m->u.answer.reply == OC_FINISHED)
        answer.holder = &holder;
      if (m->u.answer.reply == OC_FINISHED)
        answer.outcome = &outcome;
      wi_pack (out, &answer.base);
      return WI_CLAIM_ANSWER;
    }
  assert (false);
  return 0;
}

/* Decoding.  */

static struct zp_buf
decode_bytes (ProtobufCBinaryData p)
{
  return zp_buf_from (
      (struct zp_str){ .ptr = (const char *) p.data, .len = p.len });
}

static struct oc_attempt_id
decode_attempt (const Wi__OnceAttempt *p)
{
  return (struct oc_attempt_id){ .daemon = p->daemon,
                                 .incarnation = p->incarnation,
                                 .number = p->number };
}

/* Decodes the fields that every message has.  */
static bool
decode_common (const Wi__OnceAttempt *attempt, ProtobufCBinaryData key,
               struct oc_msg *out, struct zp_err *err)
{
  if (!attempt)
    return zp_fail (err, ZP_EINVAL, "at-most-once message without attempt");
  if (key.len == 0 || key.len > ZP_KEY_MAX)
    return zp_fail (err, ZP_ELIMIT, "key of %zu bytes, allowed are 1 to %d",
                    key.len, ZP_KEY_MAX);
  out->attempt = decode_attempt (attempt);
  out->key = decode_bytes (key);
  return true;
}

/* Refuses the verdict not-run: only a request that may have run has an
   outcome to record.  */
static bool
decode_outcome (const Wi__OnceOutcome *p, struct oc_outcome *out,
                struct zp_err *err)
{
  if (!p)
    return zp_fail (err, ZP_EINVAL, "at-most-once message without outcome");
  if (p->body.len > ZP_ONCE_BODY_MAX
      || p->content_type.len > ZP_ONCE_CONTENT_TYPE_MAX)
    return zp_fail (err, ZP_ELIMIT,
                    "outcome has a body of %zu and a content type of %zu "
                    "bytes, at most %d and %d allowed",
                    p->body.len, p->content_type.len, ZP_ONCE_BODY_MAX,
                    ZP_ONCE_CONTENT_TYPE_MAX);
  switch (p->verdict)
    {
    case WI__ONCE_VERDICT__ONCE_MAY_HAVE_RUN:
      out->verdict = ZP_MAY_HAVE_RUN;
      break;
    case WI__ONCE_VERDICT__ONCE_RAN:
      out->verdict = ZP_RAN;
      break;
    default:
      return zp_fail (err, ZP_EINVAL, "outcome has the verdict %d",
                      (int) p->verdict);
    }
  out->whole = p->whole;
  out->status = p->status;
  out->content_type = decode_bytes (p->content_type);
  out->body = decode_bytes (p->body);
  return true;
}

static bool
decode_question (Wi__OnceQuestion p, enum oc_msg_kind *out)
{
  switch (p)
    {
    case WI__ONCE_QUESTION__ONCE_TO_CLAIM:
      *out = OC_CLAIM;
      return true;
    case WI__ONCE_QUESTION__ONCE_TO_SEAL:
      *out = OC_SEAL;
      return true;
    case WI__ONCE_QUESTION__ONCE_TO_RECORD:
      *out = OC_RECORD;
      return true;
    default:
      return false;
    }
}

static bool
decode_reply (Wi__OnceReply p, enum oc_reply *out)
{
  switch (p)
    {
    case WI__ONCE_REPLY__ONCE_GRANTED:
      *out = OC_GRANTED;
      return true;
    case WI__ONCE_REPLY__ONCE_TAKEN:
      *out = OC_TAKEN;
      return true;
    case WI__ONCE_REPLY__ONCE_FINISHED:
      *out = OC_FINISHED;
      return true;
    case WI__ONCE_REPLY__ONCE_SEALED:
      *out = OC_SEALED;
      return true;
    case WI__ONCE_REPLY__ONCE_RECORDED:
      *out = OC_RECORDED;
      return true;
    case WI__ONCE_REPLY__ONCE_ABSTAINED:
      *out = OC_ABSTAINED;
      return true;
    default:
      return false;
    }
}

static bool
decode_abstain (Wi__OnceAbstain p, enum oc_abstain *out)
{
  switch (p)
    {
    case WI__ONCE_ABSTAIN__ONCE_NOT_MEMBER:
      *out = OC_NOT_MEMBER;
      return true;
    case WI__ONCE_ABSTAIN__ONCE_INCARNATION:
      *out = OC_INCARNATION;
      return true;
    case WI__ONCE_ABSTAIN__ONCE_GENERATION:
      *out = OC_GENERATION;
      return true;
    case WI__ONCE_ABSTAIN__ONCE_FULL:
      *out = OC_FULL;
      return true;
    default:
      return false;
    }
}

static bool
decode_answer (const Wi__OnceAnswer *p, struct oc_answer *out,
               struct zp_err *err)
{
  if (!decode_question (p->to, &out->in_reply_to)
      || !decode_reply (p->reply, &out->reply)
      || !decode_abstain (p->why, &out->why))
    return zp_fail (err, ZP_EINVAL,
                    "answer to message kind %d has reply %d and reason %d",
                    (int) p->to, (int) p->reply, (int) p->why);
  if (out->reply == OC_TAKEN || out->reply == OC_FINISHED)
    {
      if (!p->holder)
        return zp_fail (err, ZP_EINVAL, "at-most-once answer without holder");
      out->holder = decode_attempt (p->holder);
    }
  if (out->reply == OC_FINISHED)
    return decode_outcome (p->outcome, &out->outcome, err);
  return true;
}

static bool
decode_body (const ProtobufCMessage *p, struct oc_msg *out, struct zp_err *err)
{
  const Wi__OnceClaim *claim = (const Wi__OnceClaim *) p;
  const Wi__OnceSeal *seal = (const Wi__OnceSeal *) p;
  const Wi__OnceRecord *record = (const Wi__OnceRecord *) p;
  const Wi__OnceAnswer *answer = (const Wi__OnceAnswer *) p;

  switch (out->kind)
    {
    case OC_CLAIM:
      return decode_common (claim->attempt, claim->key, out, err);
    case OC_SEAL:
      return decode_common (seal->attempt, seal->key, out, err);
    case OC_RECORD:
      return decode_common (record->attempt, record->key, out, err)
             && decode_outcome (record->outcome, &out->u.record, err);
    case OC_ANSWER:
      return decode_common (answer->attempt, answer->key, out, err)
             && decode_answer (answer, &out->u.answer, err);
    }
  return false;
}

bool
oc_decode (uint8_t kind, struct zp_str payload, struct oc_msg *out,
           struct zp_err *err)
{
  const ProtobufCMessageDescriptor *d;

  *out = (struct oc_msg){ .kind = OC_CLAIM };
  switch (kind)
    {
    case WI_CLAIM:
      d = &wi__once_claim__descriptor;
      break;
    case WI_SEAL:
      d = &wi__once_seal__descriptor;
      out->kind = OC_SEAL;
      break;
    case WI_RECORD:
      d = &wi__once_record__descriptor;
      out->kind = OC_RECORD;
      break;
    case WI_CLAIM_ANSWER:
      d = &wi__once_answer__descriptor;
      out->kind = OC_ANSWER;
      break;
    default:
      return zp_fail (err, ZP_EINVAL,
                      "frame kind %u is not an at-most-once message",
                      (unsigned) kind);
    }
  ProtobufCMessage *p = protobuf_c_message_unpack (
      d, NULL, payload.len, (const uint8_t *) payload.ptr);
  if (!p)
    return zp_fail (err, ZP_ECORRUPT,
                    "at-most-once message of %zu bytes is not "
                    "valid protobuf",
                    payload.len);
  bool ok = decode_body (p, out, err);
  protobuf_c_message_free_unpacked (p, NULL);
  if (!ok)
    oc_msg_free (out);
  return ok;
}
