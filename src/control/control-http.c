#include "control/control-state.h"

#include <assert.h>
#include <stdlib.h>

#include "base/log.h"
#include "control/calls.h"

#define PART "control"

/* Sends A to the HTTP server TO as the answer to the request REQUEST_ID.  */
static void
send_answer (struct tk_task *to, uint64_t request_id,
             const struct tk_http_answer *a)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);

  m->u.answer = *a;
  m->u.answer.id = request_id;
  tk_send (to, m);
}

/* Encodes REPLY and sends it as the answer to R.  C has the HTTP interface of
   the users' platform.  */
static void
send_reply (struct ct_control *c, const struct tk_http_request *r,
            const struct ct_reply *reply)
{
  struct tk_http_answer a = { .status = 0 };

  c->interface->encode (r, reply, &a);
  send_answer (r->from, r->id, &a);
}

/* Proposes COMMAND and frees it.  R is answered when the outcome is known, or
   refused at once when too many requests wait.  */
static void
propose (struct ct_control *c, const struct tk_http_request *r,
         struct zp_buf *command)
{
  struct tk_http_answer a = { .status = 0 };

  if (ct_waiting_add (&c->waiting, c->proposals + 1, r))
    ct_replica_propose (c->replica, ++c->proposals, zp_str_of (command));
  else
    {
      ct_answer_error (&a, 503,
                       "too many requests are waiting; nothing was done; "
                       "send the same request again");
      a.retry_after_s = 1;
      send_answer (r->from, r->id, &a);
    }
  zp_buf_free (command);
}

/* Handles a request to the HTTP interface of the users' platform.  */
static void
on_call (struct ct_control *c, const struct tk_http_request *r)
{
  const struct ct_calls_view v = { .store = c->store,
                                   .leadership = ct_control_leadership (c),
                                   .daemons = &c->roster.daemons,
                                   .lookup_ttl = c->settings->lookup_ttl,
                                   .wall_now = zp_clock_wall () };
  const struct ct_reply done = { .kind = CT_REPLY_DONE };
  struct ct_call call;
  struct ct_action *action = zp_alloc (sizeof *action);

  c->interface->decode (r, &call);
  ct_calls_decide (&call, &v, action);
  switch (action->kind)
    {
    case CT_ACTION_REPLY:
      send_reply (c, r, &action->u.reply);
      break;
    case CT_ACTION_PROPOSE:
      propose (c, r, &action->u.command);
      break;
    case CT_ACTION_SERVER:
      if (ct_roster_report (&c->roster, &action->u.server, r))
        send_reply (c, r, &done);
      ct_control_propose_leaves (c);
      break;
    }
  zp_buf_free (&action->document);
  free (action);
}

void
ct_control_answer_reports (struct ct_control *c)
{
  const struct lg_status s = ct_replica_status (c->replica);
  struct ct_report_wait w;
  bool acknowledged;

  while (ct_roster_next_outcome (&c->roster, s.contact, zp_clock_mono (), &w,
                                 &acknowledged))
    {
      const struct tk_http_request r = { .id = w.request_id, .from = w.from };
      const struct ct_reply reply
          = { .kind = acknowledged ? CT_REPLY_DONE : CT_REPLY_UNAVAILABLE };
      if (!acknowledged)
        zp_log (ZP_LOG_WARNING, PART,
                "the report of a leaving server is not acknowledged: %s",
                !w.settled   ? "not all entry daemons have applied it"
                : !w.durable ? "it is not in the log"
                             : "no contact with a majority of the voters");
      send_reply (c, &r, &reply);
    }
}

void
ct_control_request (struct ct_control *c, const struct tk_http_request *r)
{
  if (c->interface)
    {
      on_call (c, r);
      return;
    }
  struct lg_status s = ct_replica_status (c->replica);
  const struct ct_leadership leadership = ct_control_leadership (c);
  struct ct_member member[LG_MEMBERS_MAX];
  struct ct_status_report report = ct_status_report_of (
      &s, c->settings, ct_replica_members (c->replica), member);
  struct ct_decision d;

  ct_reports_count (&c->reports, zp_clock_mono (),
                    ti_store_config (c->store)->index, &report.followers,
                    &report.current);
  report.shifts = &c->shifts;
  ct_operators_decide (c->store, &leadership, &report, zp_clock_wall (), r,
                       &d);
  switch (d.kind)
    {
    case CT_ANSWER:
      send_answer (r->from, r->id, &d.u.answer);
      break;
    case CT_PROPOSE:
      propose (c, r, &d.u.command);
      break;
    }
}

void
ct_control_take_reply (struct ct_control *c, struct ct_waiting_request *w,
                       const struct lg_reply *reply)
{
  struct ct_leadership leadership = ct_control_leadership (c);
  struct tk_http_answer a = { .status = 0 };
  struct tk_http_request q = { .id = w->request_id, .from = w->from };

  switch (reply->kind)
    {
    case LG_REPLY_ACCEPTED:
      w->index = reply->index;
      return;
    case LG_REPLY_COMMITTED:
      assert (w->answer);
      tk_send (w->from, w->answer);
      w->answer = NULL;
      break;
    case LG_REPLY_REFUSED:
      if (c->interface)
        {
          struct ct_reply refused = ct_calls_not_leader (&leadership);
          q.path = w->path;
          send_reply (c, &q, &refused);
          break;
        }
      ct_answer_not_leader (&a, &leadership, zp_str_of (&w->path),
                            zp_str_of (&w->query));
      send_answer (w->from, w->request_id, &a);
      break;
    case LG_REPLY_UNKNOWN:
      if (c->interface)
        {
          struct ct_reply unavailable = { .kind = CT_REPLY_UNAVAILABLE };
          send_reply (c, &q, &unavailable);
          break;
        }
      ct_answer_outcome_unknown (&a);
      send_answer (w->from, w->request_id, &a);
      break;
    }
  ct_waiting_drop (&c->waiting, w);
}
