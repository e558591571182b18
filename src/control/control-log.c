#include "control/control-state.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "control/publish.h"

#define PART "control"

static void
log_result (uint64_t index, const struct ti_result *r)
{
  struct zp_str ticket
      = r->digest.hex[0] ? ti_digest_str (&r->digest) : ZP_STR ("");

  ZP_EVENT (ZP_LOG_NOTICE, PART, "a command to a ticket is applied",
            ZP_F_INT (ZP_KEY_VERSION, index),
            ZP_F_TEXT (ZP_KEY_TICKET, ticket),
            ZP_F_TEXT (ZP_KEY_STATE, zp_str_from (ti_state_name (r->state))),
            ZP_F_INT (ZP_KEY_TICKET_NUMBER, r->number),
            ZP_F_INT (ZP_KEY_MISTAKES, r->errors.count),
            ZP_F_INT (ZP_KEY_CONFLICTS, r->conflict.objects.len));
}

static void
on_apply (void *self, uint64_t index, uint64_t term, struct zp_str bytes)
{
  struct ct_control *c = self;
  struct ct_waiting_request *w = ct_waiting_by_index (&c->waiting, index);
  uint64_t from = ti_store_config (c->store)->index;
  struct ti_result r;

  c->term = term;
  ti_store_apply (c->store, index, bytes, &r);
  if (r.leave.server[0] != '\0')
    {
      ct_roster_left (&c->roster, &r.leave);
      ct_control_answer_reports (c);
    }
  else
    log_result (index, &r);
  if (r.change)
    {
      ct_shifts_applied (&c->shifts, r.change, term, zp_clock_mono ());
      ct_publish_change (c->source, ti_store_config (c->store), term, from,
                         r.change);
    }
  if (w)
    {
      assert (!w->answer);
      w->answer = tk_msg_new (TK_HTTP_ANSWER);
      const struct tk_http_request q
          = { .id = w->request_id, .from = w->from };
      const struct ct_reply done = { .kind = CT_REPLY_DONE };
      if (c->interface)
        c->interface->encode (&q, &done, &w->answer->u.answer);
      else
        ct_answer_result (&w->answer->u.answer, &r);
      w->answer->u.answer.id = w->request_id;
    }
  ti_result_free (&r);
}

static void
on_snapshot (void *self, struct zp_buf *out)
{
  struct ct_control *c = self;

  ti_store_snapshot (c->store, out);
}

static bool
on_restore (void *self, uint64_t index, uint64_t term, struct zp_str state,
            struct zp_err *err)
{
  struct ct_control *c = self;
  struct ti_store *s = ti_store_restore (state, TI_CONFLICT_BY_OBJECT, err);

  if (!s)
    return false;
  ti_store_free (c->store);
  c->store = s;
  c->term = term;
  ct_shifts_restored (&c->shifts, ti_store_config (s), term, zp_clock_mono ());
  zp_log (ZP_LOG_NOTICE, PART,
          "restored the state of entry %" PRIu64 ", configuration %" PRIu64,
          index, ti_store_config (s)->number);
  ct_publish_whole (c->source, ti_store_config (c->store), c->term);
  const struct ti_leaves *leaves = ti_store_leaves (s);
  for (size_t i = 0; i < leaves->len; i++)
    ct_roster_left (&c->roster, &leaves->item[i]);
  return true;
}

static void
on_role (void *self, const struct lg_role_change *change)
{
  struct ct_control *c = self;
  const char *stopped = ct_stop_reason (change->stop);

  zp_log (ZP_LOG_NOTICE, PART, "%s in term %" PRIu64 ", leader %" PRIu64,
          ct_role_name (change->role), change->term, change->leader);
  if (stopped)
    zp_log (ZP_LOG_ERR, PART, "this member has stopped: %s%s%s", stopped,
            change->error ? ": " : "",
            change->error ? strerror (change->error) : "");
  zp_gauge (zp_counter ("zp_control_leader", ""), change->role == LG_LEADER);
  zp_gauge (zp_counter ("zp_control_stopped", ""), stopped != NULL);
  ct_control_update_fresh (c);
}

static void
on_answered (void *self, const struct lg_reply *reply)
{
  struct ct_control *c = self;
  struct ct_waiting_request *w
      = ct_waiting_by_proposal (&c->waiting, reply->proposal);

  if (w)
    ct_control_take_reply (c, w, reply);
  else if (reply->kind != LG_REPLY_ACCEPTED
           && ct_shifts_answered (&c->shifts, reply->proposal))
    return;
  else if (reply->proposal == c->member_change
           && reply->kind != LG_REPLY_ACCEPTED)
    {
      c->member_change = 0;
      if (reply->kind == LG_REPLY_REFUSED)
        zp_log (ZP_LOG_INFO, PART,
                "a change of the log's members was refused and "
                "will be tried again: %s",
                reply->reason ? reply->reason : "");
    }
}

static void
on_members (void *self, const struct lg_members *members)
{
  (void) self;
  zp_log (ZP_LOG_NOTICE, PART, "the log has %zu members, %zu of them voters",
          members->len, lg_members_voters (members));
}

static void
on_report (void *self, struct zp_str payload)
{
  struct ct_control *c = self;

  if (!ct_reports_read (&c->reports, zp_clock_mono (), payload))
    zp_log (ZP_LOG_WARNING, PART,
            "dropped a malformed report of another member");
}

/* Another member has the leave of a server for the log.  A member that no
   longer leads drops it; the sender sends it again.  */
static void
on_forwarded (void *self, struct zp_str command)
{
  struct ct_control *c = self;
  struct ti_command x;
  struct zp_err err;

  if (!ti_command_decode (command, &x, &err))
    {
      zp_log (ZP_LOG_WARNING, PART,
              "dropped a malformed command of another member: %s", err.text);
      return;
    }
  if (x.kind == TI_LEAVE && ct_replica_status (c->replica).role == LG_LEADER)
    ct_control_propose_leave (c, &x.u.leave.leave);
  ti_command_clear (&x);
}

const struct ct_replica_callbacks ct_control_callbacks
    = { .apply = on_apply,
        .take_snapshot = on_snapshot,
        .restore = on_restore,
        .role = on_role,
        .answered = on_answered,
        .members = on_members,
        .report = on_report,
        .forwarded = on_forwarded };
