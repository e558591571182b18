#include "harness.h"

#include <stdlib.h>

#include "control/calls.h"
#include "ticket/blob.h"

static struct ti_store *store;
static struct ct_daemons daemons;
static struct ct_calls_view view;
static struct ct_action action;
static uint64_t entry;

/* Starts with an empty store, on a member of KIND.  */
static void
reset (enum ct_leadership_kind kind)
{
  ti_store_free (store);
  ct_daemons_free (&daemons);
  store = ti_store_new (TI_CONFLICT_BY_OBJECT);
  view = (struct ct_calls_view){ .store = store,
                                 .daemons = &daemons,
                                 .lookup_ttl = 2 * ZP_SEC,
                                 .wall_now = 5 };
  view.leadership.kind = kind;
  view.leadership.leader_http = ZP_STR ("10.0.0.9:90");
}

/* Decides CALL and applies the command that it proposes, if any.  */
static void
decide (const struct ct_call *call)
{
  struct ti_result r;

  ct_calls_decide (call, &view, &action);
  if (action.kind != CT_ACTION_PROPOSE)
    return;
  ti_store_apply (store, ++entry, zp_str_of (&action.u.command), &r);
  CU_ASSERT_EQUAL (r.outcome, TI_DONE);
  ti_result_free (&r);
  zp_buf_free (&action.u.command);
}

static struct ct_call
put (uint64_t number, const char *body)
{
  struct ct_call c = { .kind = CT_CALL_PUT };

  c.u.put = (struct ct_put){ .number = number, .body = zp_str_from (body) };
  return c;
}

static const struct ct_call read_call = { .kind = CT_CALL_READ };

/* Whether the last call of decide has given a reply of KIND.  */
static bool
replies (enum ct_reply_kind kind)
{
  return action.kind == CT_ACTION_REPLY && action.u.reply.kind == kind;
}

/* Guards against a resent put that is refused or logged a second time, and
   against an older document that replaces a newer one.  */
static void
test_put (void)
{
  struct ct_call c = put (7, "seven");

  reset (CT_LEADER);
  decide (&c);
  CU_ASSERT_EQUAL (action.kind, CT_ACTION_PROPOSE);
  decide (&c);
  CU_ASSERT (replies (CT_REPLY_DONE));
  c = put (6, "six");
  decide (&c);
  CU_ASSERT (replies (CT_REPLY_DONE));
  decide (&read_call);
  CU_ASSERT (replies (CT_REPLY_DOCUMENT));
  CU_ASSERT (zp_str_eq (action.u.reply.u.document, ZP_STR ("seven")));
  zp_buf_free (&action.document);

  struct ct_call long_one = { .kind = CT_CALL_PUT };
  char *text = zp_alloc (CT_DOCUMENT_MAX + 1);
  long_one.u.put
      = (struct ct_put){ .number = 9,
                         .body = { .ptr = text, .len = CT_DOCUMENT_MAX + 1 } };
  decide (&long_one);
  CU_ASSERT (replies (CT_REPLY_BAD));
  free (text);
}

/* Guards against stale reads: only the leader answers, and a follower
   redirects to it.  Before the first document the reply is
   CT_REPLY_UNAVAILABLE, so that the caller tries again.  */
static void
test_only_the_leader_answers (void)
{
  struct ct_call c = put (7, "seven");
  struct ct_call evacuate = { .kind = CT_CALL_EVACUATE };

  reset (CT_LEADER);
  decide (&read_call);
  CU_ASSERT (replies (CT_REPLY_UNAVAILABLE));
  reset (CT_FOLLOWER);
  decide (&read_call);
  CU_ASSERT (replies (CT_REPLY_REDIRECT));
  CU_ASSERT (zp_str_eq (action.u.reply.u.leader, ZP_STR ("10.0.0.9:90")));
  decide (&c);
  CU_ASSERT (replies (CT_REPLY_REDIRECT));
  reset (CT_NO_LEADER);
  decide (&read_call);
  CU_ASSERT (replies (CT_REPLY_UNAVAILABLE));
  decide (&c);
  CU_ASSERT (replies (CT_REPLY_UNAVAILABLE));
  decide (&evacuate);
  CU_ASSERT (replies (CT_REPLY_UNAVAILABLE));
}

/* Guards against a resent start or end of an evacuation that is refused or
   logged a second time.  */
static void
test_evacuate (void)
{
  struct ct_call c = { .kind = CT_CALL_EVACUATE };

  reset (CT_LEADER);
  ti_text_set (&c.u.evacuate.failure_domain, ZP_STR ("a-1"));
  decide (&c);
  CU_ASSERT (replies (CT_REPLY_DONE)); /* the end of one never started */
  c.u.evacuate.on = true;
  decide (&c);
  CU_ASSERT_EQUAL (action.kind, CT_ACTION_PROPOSE);
  decide (&c);
  CU_ASSERT (replies (CT_REPLY_DONE));
}

/* Guards against servers that cannot report while there is no leader, and
   against an immediate reply to a server in the state draining or gone.  */
static void
test_server_reports (void)
{
  struct ct_call c = { .kind = CT_CALL_SERVER };

  reset (CT_NO_LEADER);
  zp_str_copy (c.u.server.id, sizeof c.u.server.id, ZP_STR ("i-1"));
  decide (&c);
  CU_ASSERT_EQUAL (action.kind, CT_ACTION_SERVER);
  CU_ASSERT_STRING_EQUAL (action.u.server.id, "i-1");
  CU_ASSERT (!ct_calls_defers_reply (&c.u.server));
  c.u.server.state = TK_SERVER_DRAINING;
  CU_ASSERT (ct_calls_defers_reply (&c.u.server));
  c.u.server.state = TK_SERVER_GONE;
  CU_ASSERT (ct_calls_defers_reply (&c.u.server));
}

/* Guards against an empty list of entry VMs, and against lookups that need a
   leader.  */
static void
test_lookup (void)
{
  struct ct_call c = { .kind = CT_CALL_LOOKUP };
  struct tk_daemon d = { .kind = TK_DAEMON_ENTRY,
                         .id = 1,
                         .address = "10.0.0.1:80",
                         .region = "a",
                         .ready = true };

  reset (CT_NO_LEADER);
  decide (&c);
  CU_ASSERT (replies (CT_REPLY_UNAVAILABLE));
  ct_daemons_update (&daemons, &d, 1);
  decide (&c);
  CU_ASSERT (replies (CT_REPLY_ENTRY_VMS));
  CU_ASSERT_EQUAL (action.u.reply.u.entry_vms.len, 1);
  CU_ASSERT_EQUAL (action.u.reply.u.entry_vms.ttl, 2 * ZP_SEC);
}

/* Guards against a malformed or unknown call that is not refused.  */
static void
test_malformed (void)
{
  struct ct_call bad = { .kind = CT_CALL_BAD };
  struct ct_call unknown = { .kind = CT_CALL_UNKNOWN };

  reset (CT_LEADER);
  strcpy (bad.u.bad.text, "no such service");
  decide (&bad);
  CU_ASSERT (replies (CT_REPLY_BAD));
  CU_ASSERT_STRING_EQUAL (action.u.reply.u.bad, "no such service");
  decide (&unknown);
  CU_ASSERT (replies (CT_REPLY_UNKNOWN));
  reset (CT_LEADER);
  ti_store_free (store);
  store = NULL;
}

static const struct zp_test tests[]
    = { { "documents", test_put },
        { "only the leader answers", test_only_the_leader_answers },
        { "evacuations", test_evacuate },
        { "reports of servers", test_server_reports },
        { "lookup of entry VMs", test_lookup },
        { "malformed calls", test_malformed } };

TEST_MAIN ("calls", tests)
