/* Tests the owner of the rate limits on a control daemon.  */

#include "harness.h"

#include <stdlib.h>

#include "control/quotas.h"
#include "ticket/blob.h"

#define HOLDER 5

/* A control daemon whose leadership and document the test sets.  */
struct fixture
{
  struct ct_quotas quotas;
  struct lg_status status;
  struct ti_document document;
  bool has_document;
  uint64_t asks;
  zp_time now;
};

static unsigned decoded;

/* A document of this test is "RATE BURST" for the workspace "acme"; "bad" cannot
   be read.  */
static struct si_site *
decode (struct zp_str text, struct zp_err *err)
{
  struct si_workspace w = { .name = zp_buf_from (ZP_STR ("acme")) };
  char copy[64];

  decoded++;
  zp_str_copy (copy, sizeof copy, text);
  if (sscanf (copy, "%lf %lf", &w.rate_per_s, &w.burst) != 2)
    {
      si_workspace_clear (&w);
      zp_fail (err, ZP_EINVAL, "no limit");
      return NULL;
    }
  struct si_site *s = si_site_new (1);
  si_site_add_workspace (s, &w);
  if (si_site_seal (s, err))
    return s;
  si_site_free (s);
  return NULL;
}

static void
put (struct fixture *f, const char *text, uint64_t number)
{
  free (f->document.body.ptr);
  ti_blob_compress (zp_str_from (text), &f->document.body);
  f->document.number = number;
  f->has_document = true;
}

static bool
update (struct fixture *f)
{
  return ct_quotas_update (&f->quotas, &f->status,
                           f->has_document ? &f->document : NULL, f->now);
}

static void
set_up (struct fixture *f)
{
  decoded = 0;
  *f = (struct fixture){
    .quotas = { .decode = decode },
    .status = { .role = LG_LEADER, .lease = true, .current = true, .term = 3 },
    .now = 1000 * ZP_SEC
  };
  put (f, "40 40", 1);
}

static void
tear_down (struct fixture *f)
{
  ct_quotas_free (&f->quotas);
  free (f->document.body.ptr);
}

/* Whether an ask of the holder is answered.  TOKENS: those given of 1,000.  */
static bool
ask (struct fixture *f, uint32_t *tokens)
{
  struct tk_quota_ask_item item = {
    .workspace = zp_str_hash (ZP_STR ("acme"), 0), .demand = 100, .want = 1000
  };
  const struct tk_quota_ask a = { .holder = HOLDER,
                                  .incarnation = 9,
                                  .number = ++f->asks,
                                  .item = &item,
                                  .len = 1 };
  struct tk_quota_grant g;

  if (!ct_quotas_answer (&f->quotas, &a, f->now, &g))
    return false;
  CU_ASSERT_EQUAL (g.holder, HOLDER);
  CU_ASSERT_EQUAL (g.number, f->asks);
  CU_ASSERT_EQUAL (g.term, f->status.term);
  if (tokens)
    *tokens = g.len > 0 ? g.item[0].tokens : 0;
  free (g.item);
  return true;
}

/* Guards against two owners: a member that only follows, has lost its lease or
   does not know the newest state gives no tokens.  */
static void
test_only_leader_answers (void)
{
  struct fixture f;

  set_up (&f);
  CU_ASSERT (!ask (&f, NULL));
  CU_ASSERT (update (&f));
  CU_ASSERT (ask (&f, NULL));
  f.status.lease = false;
  CU_ASSERT (!update (&f));
  CU_ASSERT (!ask (&f, NULL));
  f.status.lease = true;
  f.status.current = false;
  CU_ASSERT (!update (&f));
  CU_ASSERT (!ask (&f, NULL));
  f.status.current = true;
  f.status.role = LG_FOLLOWER;
  CU_ASSERT (!update (&f));
  CU_ASSERT (!ask (&f, NULL));
  f.status.role = LG_LEADER;
  CU_ASSERT (update (&f));
  CU_ASSERT (ask (&f, NULL));
  tear_down (&f);
}

/* Guards against an owner that forgets its leases when its lease of the log has
   ended for a moment, and against one that keeps those of an earlier term: a
   new term gives nothing at first.  */
static void
test_terms (void)
{
  uint32_t tokens = 0;
  struct fixture f;

  set_up (&f);
  update (&f);
  f.now += 20 * ZP_SEC;
  CU_ASSERT (ask (&f, &tokens));
  CU_ASSERT (tokens > 0);
  f.status.lease = false;
  update (&f);
  f.status.lease = true;
  update (&f);
  /* The pool refills from when the tokens under way are no longer valid.  */
  f.now += ZP_SEC;
  CU_ASSERT (ask (&f, NULL));
  f.now += ZP_SEC;
  CU_ASSERT (ask (&f, &tokens));
  CU_ASSERT (tokens > 0);

  f.status.role = LG_FOLLOWER;
  f.status.term = 4;
  update (&f);
  f.now += ZP_SEC;
  f.status.role = LG_LEADER;
  f.status.term = 5;
  update (&f);
  CU_ASSERT (ask (&f, &tokens));
  CU_ASSERT_EQUAL (tokens, 0);
  tear_down (&f);
}

/* Guards against limits that are not those of the document in force, and
   against a document that is decoded again and again.  */
static void
test_documents (void)
{
  uint32_t tokens = 0;
  struct fixture f;

  set_up (&f);
  f.status.role = LG_FOLLOWER;
  update (&f);
  CU_ASSERT_EQUAL (decoded, 0);
  f.status.role = LG_LEADER;
  for (int i = 0; i < 3; i++)
    update (&f);
  CU_ASSERT_EQUAL (decoded, 1);
  CU_ASSERT_EQUAL (f.quotas.limits, 1);

  put (&f, "bad", 2);
  for (int i = 0; i < 3; i++)
    CU_ASSERT (update (&f));
  CU_ASSERT_EQUAL (decoded, 2);
  CU_ASSERT_EQUAL (f.quotas.limits, 1);

  put (&f, "0 0", 3);
  update (&f);
  CU_ASSERT_EQUAL (f.quotas.limits, 0);
  f.now += 20 * ZP_SEC;
  CU_ASSERT (ask (&f, &tokens));
  CU_ASSERT_EQUAL (tokens, 0);
  tear_down (&f);
}

/* Guards against a time of claims, with a quarter of the limit when a deployment gets its
   first limit: no other member was the owner since this one leads.  */
static void
test_first_limit (void)
{
  struct fixture f;
  uint32_t tokens = 0;

  set_up (&f);
  put (&f, "0 0", 1);
  CU_ASSERT (update (&f));
  f.now += 10 * ZP_SEC;
  put (&f, "40 40", 2);
  CU_ASSERT (update (&f));
  f.now += 2 * ZP_SEC;
  CU_ASSERT (ask (&f, &tokens));
  CU_ASSERT_EQUAL (tokens, 40);
  /* A later term waits for the claims, a limit or not.  */
  f.status.term = 4;
  f.now += ZP_SEC;
  CU_ASSERT (update (&f));
  f.now += 5 * ZP_SEC;
  CU_ASSERT (ask (&f, &tokens));
  CU_ASSERT_EQUAL (tokens, 15); /* of 40, 16 are never leased out */
  tear_down (&f);
}

/* Guards against work and answers in a deployment without limits.  */
static void
test_without_limits (void)
{
  struct fixture f;

  set_up (&f);
  put (&f, "0 0", 1);
  CU_ASSERT (update (&f));
  CU_ASSERT_PTR_NULL (f.quotas.owner);
  CU_ASSERT (!ask (&f, NULL));
  f.quotas.decode = NULL;
  put (&f, "40 40", 2);
  CU_ASSERT (update (&f));
  CU_ASSERT (!ask (&f, NULL));
  tear_down (&f);
}

static const struct zp_test tests[]
    = { { "only the leader answers", test_only_leader_answers },
        { "terms", test_terms },
        { "documents", test_documents },
        { "first limit", test_first_limit },
        { "without limits", test_without_limits } };

TEST_MAIN ("quotas", tests)
