#include "forward/copy.h"
#include "forward/transfer.h"

static const char *
reason_for (const struct fw_transfer *t)
{
  switch (t->ending.witness)
    {
    case FW_WITNESS_CALLED:
      return t->ending.answered ? "the server has answered a later call"
                                : "the server has not answered a later call";
    case FW_WITNESS_IDLE:
      return "a used connection to the server stays open";
    case FW_WITNESS_NONE:
      break;
    }
  return "no other connection that was used before stays open";
}

static void
step (struct fw_transfer *t, enum fw_ending_event event)
{
  zp_time now = zp_clock_mono ();
  struct ev_loop *ev = t->client->loop->ev;

  switch (fw_ending_step (&t->ending, event, now))
    {
    case FW_ENDING_PENDING:
      break;
    case FW_ENDING_WHOLE:
      fw_transfer_finish_proof (t, true, reason_for (t));
      return;
    case FW_ENDING_UNPROVED:
      fw_transfer_finish_proof (t, false, reason_for (t));
      return;
    }
  zp_time due = fw_ending_due (&t->ending);
  if (due == ZP_NEVER)
    return;
  ev_timer_stop (ev, &t->settle);
  ev_now_update (ev);
  ev_timer_set (&t->settle,
                due < now ? 0.0 : (double) (due - now) / (double) ZP_SEC, 0.0);
  ev_timer_start (ev, &t->settle);
}

static bool
pool_has_witness (const struct fw_transfer *t)
{
  return fw_pool_has_open (&t->client->pool,
                           zp_str_from (t->request->u.forward.address), t->fd,
                           t->sent);
}

static void
on_settle (struct ev_loop *ev, ev_timer *w, int events)
{
  struct fw_transfer *t = w->data;
  bool lost = t->ending.witness == FW_WITNESS_IDLE && !pool_has_witness (t);

  (void) ev;
  (void) events;
  step (t, lost ? FW_EVENT_WITNESS_LOST : FW_EVENT_TIME);
}

void
fw_proof_lose_witness (struct fw_client *c, const struct fw_keeper *k)
{
  for (struct fw_transfer *t = c->active.next, *next; t != &c->active;
       t = next)
    {
      next = t->next;
      if (t->witness != k)
        continue;
      t->witness = NULL;
      step (t, FW_EVENT_WITNESS_LOST);
    }
}

void
fw_proof_note_call (struct fw_client *c, const struct fw_keeper *k,
                    zp_time called)
{
  for (struct fw_transfer *t = c->active.next, *next; t != &c->active;
       t = next)
    {
      next = t->next;
      if (t->witness == k && t->ended > 0 && called >= t->ended)
        step (t, FW_EVENT_WITNESS_ANSWERED);
    }
}

void
fw_proof_begin (struct fw_transfer *t)
{
  const struct tk_forward *f = &t->request->u.forward;
  enum fw_witness_kind kind = FW_WITNESS_NONE;
  struct fw_keeper *k = fw_keeper_want (t->client, zp_str_from (f->address),
                                        zp_str_of (&f->health_path));

  if (k && fw_keeper_is_witness (k, t->sent))
    {
      t->witness = k;
      kind = FW_WITNESS_CALLED;
    }
  else if (pool_has_witness (t))
    kind = FW_WITNESS_IDLE;
  t->ending = fw_ending_begin (kind);
  ev_timer_init (&t->settle, on_settle, 0.0, 0.0);
  t->settle.data = t;
}

static void
end_answer (struct fw_transfer *t)
{
  struct fw_keeper *k = t->witness;

  step (t, FW_EVENT_ANSWER_ENDED);
  if (k)
    fw_keeper_ask (k);
}

void
fw_proof_end_answer (struct fw_transfer *t)
{
  struct zp_buf *body = &t->done->u.done.body;
  struct fw_copy copy = fw_copy_find (&t->answer, zp_str_of (body));

  switch (copy.kind)
    {
    case FW_COPY_NONE:
      end_answer (t);
      return;
    case FW_COPY_EQUAL:
      t->client->body_bytes -= body->len - copy.u.body_len;
      body->len = copy.u.body_len;
      fw_transfer_finish_proof (t, true, "the server sent it twice");
      return;
    case FW_COPY_OTHER:
      fw_transfer_finish_proof (t, false, "its body has a second answer");
      return;
    }
}

void
fw_proof_free (struct fw_transfer *t)
{
  t->witness = NULL;
  ev_timer_stop (t->client->loop->ev, &t->settle);
}
