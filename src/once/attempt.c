#include "once/attempt.h"

#include <assert.h>
#include <stdlib.h>

/* State.  */

enum phase
{
  CLAIMING,
  HOLDING, /* a quorum of members has granted the claim */
  SEALING,
  RECORDING, /* the request has ended; its outcome is sent to the members */
  FINISHED,
};

/* The last answer of a member to the message of the current phase.  */
enum reply_state
{
  PENDING, /* no answer yet */
  GRANTED,
  TAKEN,
  SEALED,
  ABSTAINED,
  RECORDED,
};

struct member_state
{
  enum reply_state state;
  zp_time resend_at;
  zp_time backoff; /* from the next resend to the one after it */
};

struct oc_attempt
{
  struct oc_attempt_id id;
  struct zp_buf key;
  struct oc_home home;
  zp_time seal_at; /* begins to seal unless it is forwarding then */
  zp_time deadline;
  zp_time linger_end; /* SEALING, RECORDING: finishes at this time */
  enum phase phase;
  bool in_flight; /* the request may be at a backend server */
  bool answered;  /* OC_ANSWERED or OC_REFUSED has been emitted */
  struct member_state member[OC_HOME_MAX];
  struct oc_outcome outcome; /* RECORDING */
  char reason[ZP_NAME_MAX];  /* of a refusal */
  struct oc_actions actions;
};

static size_t
count (const struct oc_attempt *a, enum reply_state state)
{
  size_t n = 0;

  for (size_t i = 0; i < a->home.count; i++)
    n += a->member[i].state == state;
  return n;
}

/* Actions.  */

static void
refuse_caller (struct oc_attempt *a, enum zp_verdict verdict,
               const char *reason)
{
  if (a->answered)
    return;
  a->answered = true;
  struct oc_action *x = oc_actions_add (&a->actions, OC_REFUSED);
  x->u.refusal.verdict = verdict;
  zp_str_copy (x->u.refusal.reason, sizeof x->u.refusal.reason,
               zp_str_from (reason));
}

/* Answers the caller of the request with the outcome O, of this or of another
   attempt.  */
static void
answer_caller (struct oc_attempt *a, const struct oc_outcome *o)
{
  if (a->answered)
    return;
  if (o->verdict != ZP_RAN)
    {
      refuse_caller (a, ZP_MAY_HAVE_RUN, "may-have-run");
      return;
    }
  if (!o->whole)
    {
      refuse_caller (a, ZP_MAY_HAVE_RUN, "answer-not-kept");
      return;
    }
  a->answered = true;
  oc_actions_add (&a->actions, OC_ANSWERED)->u.answer = oc_outcome_copy (o);
}

/* Sends the message of the current phase to member I of the home.  */
static void
send_to (struct oc_attempt *a, size_t i, zp_time now)
{
  struct member_state *s = &a->member[i];
  struct oc_action *x = oc_actions_add (&a->actions, OC_SEND);
  struct oc_msg *m = &x->u.send.msg;

  x->u.send.member = a->home.member[i].id;
  m->attempt = a->id;
  m->key = zp_buf_from (zp_str_of (&a->key));
  switch (a->phase)
    {
    case CLAIMING:
      m->kind = OC_CLAIM;
      break;
    case SEALING:
      m->kind = OC_SEAL;
      break;
    case RECORDING:
      m->kind = OC_RECORD;
      m->u.record = oc_outcome_copy (&a->outcome);
      break;
    case HOLDING:
    case FINISHED:
      assert (false);
    }
  s->resend_at = now + s->backoff;
  s->backoff
      = s->backoff * 2 < OC_BACKOFF_MAX ? s->backoff * 2 : OC_BACKOFF_MAX;
}

/* Sends the message of the new phase to every member whose state is not
   SKIP.  */
static void
send_all (struct oc_attempt *a, enum reply_state skip, zp_time now)
{
  for (size_t i = 0; i < a->home.count; i++)
    if (a->member[i].state != skip)
      {
        a->member[i] = (struct member_state){ .state = PENDING,
                                              .backoff = OC_BACKOFF_MIN };
        send_to (a, i, now);
      }
}

/* Phases.  */

/* Enters SEALING, after which the request is never forwarded.  */
static void
begin_seal (struct oc_attempt *a, const char *reason, zp_time now)
{
  assert (!a->in_flight && (a->phase == CLAIMING || a->phase == HOLDING));
  a->phase = SEALING;
  a->linger_end = (now > a->deadline ? now : a->deadline) + OC_LINGER;
  zp_str_copy (a->reason, sizeof a->reason, zp_str_from (reason));
  send_all (a, SEALED, now);
}

static void
finish (struct oc_attempt *a)
{
  assert (a->answered && !a->in_flight);
  a->phase = FINISHED;
}

static void
advance_claiming (struct oc_attempt *a, zp_time now)
{
  size_t quorum = oc_home_quorum (&a->home);

  if (count (a, SEALED) >= quorum)
    {
      refuse_caller (a, ZP_NOT_RUN, "sealed");
      finish (a);
      return;
    }
  if (now >= a->seal_at)
    {
      begin_seal (a, "deadline", now);
      return;
    }
  if (count (a, GRANTED) >= quorum)
    {
      a->phase = HOLDING;
      oc_actions_add (&a->actions, OC_FORWARD);
      return;
    }
  if (count (a, GRANTED) + count (a, PENDING) < quorum)
    begin_seal (a, count (a, TAKEN) > 0 ? "key-taken" : "home-expired", now);
}

static void
advance_sealing (struct oc_attempt *a, zp_time now)
{
  if (count (a, SEALED) >= oc_home_quorum (&a->home))
    {
      refuse_caller (a, ZP_NOT_RUN, a->reason);
      finish (a);
      return;
    }
  /* Without an unanswered message or a poll, no state can change any more.  */
  bool pending = count (a, PENDING) + count (a, TAKEN) > 0;
  if (now >= a->deadline || !pending)
    refuse_caller (a, ZP_MAY_HAVE_RUN, a->reason);
  if (now >= a->linger_end || !pending)
    finish (a);
}

/* Changes the phase, and answers the caller of the request, when the answers
   of the members or the time NOW require it.  */
static void
advance (struct oc_attempt *a, zp_time now)
{
  if (a->phase == CLAIMING)
    advance_claiming (a, now);
  if (a->phase == HOLDING && !a->in_flight && now >= a->seal_at)
    begin_seal (a, "deadline", now);
  switch (a->phase)
    {
    case CLAIMING:
    case FINISHED:
      break;
    case HOLDING:
      if (now >= a->deadline)
        refuse_caller (a, ZP_MAY_HAVE_RUN, "deadline");
      break;
    case SEALING:
      advance_sealing (a, now);
      break;
    case RECORDING:
      if (count (a, PENDING) == 0 || now >= a->linger_end)
        finish (a);
      break;
    }
}

/* Inputs.  */

struct oc_attempt *
oc_attempt_new (struct oc_attempt_id id, struct zp_str key,
                const struct oc_home *home, zp_time now, zp_time deadline)
{
  struct oc_attempt *a = zp_alloc (sizeof *a);
  zp_time left = deadline > now ? deadline - now : 0;
  zp_time margin = left / 4 < OC_SEAL_MARGIN ? left / 4 : OC_SEAL_MARGIN;

  assert (home->count == 1 || home->count == OC_HOME_MAX);
  a->id = id;
  a->key = zp_buf_from (key);
  a->home = *home;
  a->deadline = deadline;
  a->seal_at = deadline - margin;
  a->phase = CLAIMING;
  send_all (a, SEALED, now);
  return a;
}

void
oc_attempt_free (struct oc_attempt *a)
{
  struct oc_action *x;

  if (!a)
    return;
  while ((x = oc_attempt_next_action (a)))
    oc_action_free (x);
  zp_buf_free (&a->key);
  oc_outcome_free (&a->outcome);
  free (a);
}

/* After its first answer only a seal changes the state of a member.  A grant
   remains valid: a member that has restarted, or has expired the key, grants
   the key to no other attempt.  */
static void
on_claim_answer (struct member_state *s, enum oc_reply reply)
{
  if (reply == OC_SEALED)
    s->state = SEALED;
  if (s->state != PENDING)
    return;
  switch (reply)
    {
    case OC_GRANTED:
      s->state = GRANTED;
      break;
    case OC_TAKEN:
      s->state = TAKEN;
      break;
    case OC_ABSTAINED:
      s->state = ABSTAINED;
      break;
    case OC_FINISHED:
    case OC_SEALED:
    case OC_RECORDED:
      break;
    }
}

/* TAKEN: another attempt holds the key, so the member is polled until that
   attempt has an outcome.  */
static void
on_seal_answer (struct member_state *s, enum oc_reply reply, zp_time now)
{
  if (s->state == SEALED)
    return;
  switch (reply)
    {
    case OC_SEALED:
      s->state = SEALED;
      break;
    case OC_TAKEN:
      if (s->state == TAKEN)
        break;
      *s = (struct member_state){ .state = TAKEN,
                                  .resend_at = now + OC_POLL_INTERVAL,
                                  .backoff = 2 * OC_POLL_INTERVAL };
      break;
    case OC_ABSTAINED:
      s->state = ABSTAINED;
      break;
    case OC_GRANTED:
    case OC_FINISHED:
    case OC_RECORDED:
      break;
    }
}

static struct member_state *
find_member (struct oc_attempt *a, uint64_t member)
{
  for (size_t i = 0; i < a->home.count; i++)
    if (a->home.member[i].id == member)
      return &a->member[i];
  return NULL;
}

void
oc_attempt_receive (struct oc_attempt *a, uint64_t from,
                    const struct oc_msg *msg, zp_time now)
{
  const struct oc_answer *m = &msg->u.answer;
  struct member_state *s = find_member (a, from);

  if (!s || msg->kind != OC_ANSWER || !oc_attempt_id_eq (msg->attempt, a->id))
    return;
  switch (a->phase)
    {
    case CLAIMING:
    case SEALING:
      if (m->reply == OC_FINISHED)
        {
          answer_caller (a, &m->outcome);
          finish (a);
          break;
        }
      if (a->phase == CLAIMING)
        on_claim_answer (s, m->reply);
      /* A late answer to a claim is ignored, unless the key is already
         sealed.  */
      else if (m->in_reply_to == OC_SEAL || m->reply == OC_SEALED)
        on_seal_answer (s, m->reply, now);
      break;
    case RECORDING:
      if (m->in_reply_to == OC_RECORD)
        s->state = RECORDED;
      break;
    case HOLDING:
    case FINISHED:
      break;
    }
  advance (a, now);
}

bool
oc_attempt_begin_forward (struct oc_attempt *a, zp_time now)
{
  advance (a, now);
  if (a->phase != HOLDING || a->in_flight)
    return false;
  a->in_flight = true;
  return true;
}

void
oc_attempt_end_forward (struct oc_attempt *a, struct oc_outcome *outcome,
                        zp_time now)
{
  struct oc_outcome o = *outcome;

  *outcome = (struct oc_outcome){ .verdict = o.verdict };
  if (!a->in_flight)
    {
      oc_outcome_free (&o);
      return;
    }
  a->in_flight = false;
  if (o.verdict == ZP_NOT_RUN)
    {
      oc_outcome_free (&o);
      advance (a, now);
      return;
    }
  answer_caller (a, &o);
  if (o.verdict != ZP_RAN || !oc_outcome_fits (&o))
    {
      o.whole = false;
      zp_buf_clear (&o.content_type);
      zp_buf_clear (&o.body);
    }
  a->outcome = o;
  a->phase = RECORDING;
  a->linger_end = (now > a->deadline ? now : a->deadline) + OC_LINGER;
  send_all (a, RECORDED, now);
}

void
oc_attempt_refuse (struct oc_attempt *a, struct zp_str reason, zp_time now)
{
  char text[ZP_NAME_MAX];

  if (a->in_flight || (a->phase != CLAIMING && a->phase != HOLDING))
    return;
  zp_str_copy (text, sizeof text, reason);
  begin_seal (a, text, now);
  advance (a, now);
}

void
oc_attempt_tick (struct oc_attempt *a, zp_time now)
{
  advance (a, now);
  for (size_t i = 0; i < a->home.count; i++)
    {
      enum reply_state state = a->member[i].state;
      bool pending
          = state == PENDING || (state == TAKEN && a->phase == SEALING);
      if (a->phase != HOLDING && a->phase != FINISHED && pending
          && now >= a->member[i].resend_at)
        send_to (a, i, now);
    }
}

zp_time
oc_attempt_next_tick (const struct oc_attempt *a)
{
  zp_time at = ZP_NEVER;

  switch (a->phase)
    {
    case FINISHED:
      return ZP_NEVER;
    case HOLDING:
      if (!a->in_flight)
        return a->seal_at;
      return a->answered ? ZP_NEVER : a->deadline;
    case CLAIMING:
      at = a->seal_at;
      break;
    case SEALING:
      at = a->answered ? a->linger_end : a->deadline;
      break;
    case RECORDING:
      at = a->linger_end;
      break;
    }
  for (size_t i = 0; i < a->home.count; i++)
    {
      enum reply_state state = a->member[i].state;
      bool pending
          = state == PENDING || (state == TAKEN && a->phase == SEALING);
      if (pending && a->member[i].resend_at < at)
        at = a->member[i].resend_at;
    }
  return at;
}

struct oc_action *
oc_attempt_next_action (struct oc_attempt *a)
{
  return oc_actions_take (&a->actions);
}

bool
oc_attempt_finished (const struct oc_attempt *a)
{
  return a->phase == FINISHED;
}
