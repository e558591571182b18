#include "once/attempt.h"

#include <assert.h>
#include <stdlib.h>

/* State.  */

enum phase
{
  CLAIMING,
  OWNING, /* a quorum of claims */
  SEALING,
  RECORDING,
  FINISHED,
};

/* What is known of one member in the current phase.  */
enum view
{
  ASKED, /* no answer yet */
  GRANTED,
  TAKEN,
  SEALED,
  ABSTAINED,
  RECORDED,
};

struct slot
{
  enum view view;
  zp_time next; /* when the question is sent again */
  zp_time wait;
};

struct oc_attempt
{
  struct oc_attempt_id id;
  struct zp_buf key;
  struct oc_home home;
  zp_time seal_at;
  zp_time deadline;
  zp_time end; /* of the messages that follow the answer */
  enum phase phase;
  bool in_flight; /* the request may be at a backend server */
  bool answered;
  struct slot slot[OC_HOME_MAX];
  struct oc_outcome outcome; /* RECORDING */
  char reason[ZP_NAME_MAX];  /* of a refusal */
  struct oc_actions outs;
};

static size_t
count (const struct oc_attempt *a, enum view view)
{
  size_t n = 0;

  for (size_t i = 0; i < a->home.count; i++)
    n += a->slot[i].view == view;
  return n;
}

/* Outputs.  */

static void
refuse (struct oc_attempt *a, enum zp_verdict verdict, const char *reason)
{
  if (a->answered)
    return;
  a->answered = true;
  struct oc_action *o = oc_actions_add (&a->outs, OC_REFUSED);
  o->u.refusal.verdict = verdict;
  zp_str_copy (o->u.refusal.reason, sizeof o->u.refusal.reason,
               zp_str_from (reason));
}

/* Answers with the outcome of this or of another attempt.  */
static void
answer (struct oc_attempt *a, const struct oc_outcome *o)
{
  if (a->answered)
    return;
  if (o->verdict != ZP_RAN)
    {
      refuse (a, ZP_MAY_HAVE_RUN, "may-have-run");
      return;
    }
  if (!o->whole)
    {
      refuse (a, ZP_MAY_HAVE_RUN, "answer-not-kept");
      return;
    }
  a->answered = true;
  oc_actions_add (&a->outs, OC_ANSWERED)->u.answer = oc_outcome_copy (o);
}

static void
ask (struct oc_attempt *a, size_t i, zp_time now)
{
  struct slot *s = &a->slot[i];
  struct oc_action *o = oc_actions_add (&a->outs, OC_SEND);
  struct oc_msg *m = &o->u.send.msg;

  o->u.send.member = a->home.seat[i].id;
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
    case OWNING:
    case FINISHED:
      assert (false);
    }
  s->next = now + s->wait;
  s->wait = s->wait * 2 < OC_BACKOFF_MAX ? s->wait * 2 : OC_BACKOFF_MAX;
}

/* Sends the question of the new phase to every member whose view is not
   SKIP.  */
static void
ask_all (struct oc_attempt *a, enum view skip, zp_time now)
{
  for (size_t i = 0; i < a->home.count; i++)
    if (a->slot[i].view != skip)
      {
        a->slot[i] = (struct slot){ .view = ASKED, .wait = OC_BACKOFF_MIN };
        ask (a, i, now);
      }
}

/* Phases.  */

/* From here on the request is never forwarded.  */
static void
begin_seal (struct oc_attempt *a, const char *reason, zp_time now)
{
  assert (!a->in_flight && (a->phase == CLAIMING || a->phase == OWNING));
  a->phase = SEALING;
  a->end = (now > a->deadline ? now : a->deadline) + OC_LINGER;
  zp_str_copy (a->reason, sizeof a->reason, zp_str_from (reason));
  ask_all (a, SEALED, now);
}

static void
finish (struct oc_attempt *a)
{
  assert (a->answered && !a->in_flight);
  a->phase = FINISHED;
}

static void
settle_claims (struct oc_attempt *a, zp_time now)
{
  size_t quorum = oc_home_quorum (&a->home);

  if (count (a, SEALED) >= quorum)
    {
      refuse (a, ZP_NOT_RUN, "sealed");
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
      a->phase = OWNING;
      oc_actions_add (&a->outs, OC_FORWARD);
      return;
    }
  if (count (a, GRANTED) + count (a, ASKED) < quorum)
    begin_seal (a, count (a, TAKEN) > 0 ? "key-taken" : "home-expired", now);
}

static void
settle_seals (struct oc_attempt *a, zp_time now)
{
  if (count (a, SEALED) >= oc_home_quorum (&a->home))
    {
      refuse (a, ZP_NOT_RUN, a->reason);
      finish (a);
      return;
    }
  /* Without a question that is open, no more answers can come.  */
  bool open = count (a, ASKED) + count (a, TAKEN) > 0;
  if (now >= a->deadline || !open)
    refuse (a, ZP_MAY_HAVE_RUN, a->reason);
  if (now >= a->end || !open)
    finish (a);
}

/* Moves on as far as the views and the time allow.  */
static void
settle (struct oc_attempt *a, zp_time now)
{
  if (a->phase == CLAIMING)
    settle_claims (a, now);
  if (a->phase == OWNING && !a->in_flight && now >= a->seal_at)
    begin_seal (a, "deadline", now);
  switch (a->phase)
    {
    case CLAIMING:
    case FINISHED:
      break;
    case OWNING:
      if (now >= a->deadline)
        refuse (a, ZP_MAY_HAVE_RUN, "deadline");
      break;
    case SEALING:
      settle_seals (a, now);
      break;
    case RECORDING:
      if (count (a, ASKED) == 0 || now >= a->end)
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
  ask_all (a, SEALED, now);
  return a;
}

void
oc_attempt_free (struct oc_attempt *a)
{
  struct oc_action *o;

  if (!a)
    return;
  while ((o = oc_attempt_next_action (a)))
    oc_action_free (o);
  zp_buf_free (&a->key);
  oc_outcome_free (&a->outcome);
  free (a);
}

/* A grant stays valid whatever the member answers later: a member that has
   restarted or expired the key grants it to nobody else.  */
static void
on_claim_answer (struct slot *s, enum oc_reply reply)
{
  if (reply == OC_SEALED)
    s->view = SEALED;
  if (s->view != ASKED)
    return;
  switch (reply)
    {
    case OC_GRANTED:
      s->view = GRANTED;
      break;
    case OC_TAKEN:
      s->view = TAKEN;
      break;
    case OC_ABSTAINED:
      s->view = ABSTAINED;
      break;
    case OC_FINISHED:
    case OC_SEALED:
    case OC_RECORDED:
      break;
    }
}

static void
on_seal_answer (struct slot *s, enum oc_reply reply, zp_time now)
{
  if (s->view == SEALED)
    return;
  switch (reply)
    {
    case OC_SEALED:
      s->view = SEALED;
      break;
    case OC_TAKEN:
      if (s->view == TAKEN)
        break;
      *s = (struct slot){ .view = TAKEN,
                          .next = now + OC_POLL_INTERVAL,
                          .wait = 2 * OC_POLL_INTERVAL };
      break;
    case OC_ABSTAINED:
      s->view = ABSTAINED;
      break;
    case OC_GRANTED:
    case OC_FINISHED:
    case OC_RECORDED:
      break;
    }
}

static struct slot *
slot_of (struct oc_attempt *a, uint64_t member)
{
  for (size_t i = 0; i < a->home.count; i++)
    if (a->home.seat[i].id == member)
      return &a->slot[i];
  return NULL;
}

void
oc_attempt_receive (struct oc_attempt *a, uint64_t from,
                    const struct oc_msg *msg, zp_time now)
{
  const struct oc_answer *m = &msg->u.answer;
  struct slot *s = slot_of (a, from);

  if (!s || msg->kind != OC_ANSWER || !oc_attempt_id_eq (msg->attempt, a->id))
    return;
  switch (a->phase)
    {
    case CLAIMING:
    case SEALING:
      if (m->reply == OC_FINISHED)
        {
          answer (a, &m->outcome);
          finish (a);
          break;
        }
      if (a->phase == CLAIMING)
        on_claim_answer (s, m->reply);
      /* A late answer to a claim does not answer the seal.  */
      else if (m->to == OC_SEAL || m->reply == OC_SEALED)
        on_seal_answer (s, m->reply, now);
      break;
    case RECORDING:
      if (m->to == OC_RECORD)
        s->view = RECORDED;
      break;
    case OWNING:
    case FINISHED:
      break;
    }
  settle (a, now);
}

bool
oc_attempt_begin_forward (struct oc_attempt *a, zp_time now)
{
  settle (a, now);
  if (a->phase != OWNING || a->in_flight)
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
      settle (a, now);
      return;
    }
  answer (a, &o);
  if (o.verdict != ZP_RAN || !oc_outcome_fits (&o))
    {
      o.whole = false;
      zp_buf_clear (&o.content_type);
      zp_buf_clear (&o.body);
    }
  a->outcome = o;
  a->phase = RECORDING;
  a->end = (now > a->deadline ? now : a->deadline) + OC_LINGER;
  ask_all (a, RECORDED, now);
}

void
oc_attempt_refuse (struct oc_attempt *a, struct zp_str reason, zp_time now)
{
  char text[ZP_NAME_MAX];

  if (a->in_flight || (a->phase != CLAIMING && a->phase != OWNING))
    return;
  zp_str_copy (text, sizeof text, reason);
  begin_seal (a, text, now);
  settle (a, now);
}

void
oc_attempt_tick (struct oc_attempt *a, zp_time now)
{
  settle (a, now);
  for (size_t i = 0; i < a->home.count; i++)
    {
      enum view v = a->slot[i].view;
      bool open = v == ASKED || (v == TAKEN && a->phase == SEALING);
      if (a->phase != OWNING && a->phase != FINISHED && open
          && now >= a->slot[i].next)
        ask (a, i, now);
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
    case OWNING:
      if (!a->in_flight)
        return a->seal_at;
      return a->answered ? ZP_NEVER : a->deadline;
    case CLAIMING:
      at = a->seal_at;
      break;
    case SEALING:
      at = a->answered ? a->end : a->deadline;
      break;
    case RECORDING:
      at = a->end;
      break;
    }
  for (size_t i = 0; i < a->home.count; i++)
    {
      enum view v = a->slot[i].view;
      bool open = v == ASKED || (v == TAKEN && a->phase == SEALING);
      if (open && a->slot[i].next < at)
        at = a->slot[i].next;
    }
  return at;
}

struct oc_action *
oc_attempt_next_action (struct oc_attempt *a)
{
  return oc_actions_take (&a->outs);
}

bool
oc_attempt_finished (const struct oc_attempt *a)
{
  return a->phase == FINISHED;
}
