#include "harness.h"

#include <stdlib.h>

#include "roster/codec.h"
#include "roster/quota_codec.h"
#include "wire/bytes.h"
#include "wire/roster.pb-c.h"

static void
check_server (const struct tk_server *a, const struct tk_server *b)
{
  CU_ASSERT_STRING_EQUAL (a->id, b->id);
  CU_ASSERT_STRING_EQUAL (a->service, b->service);
  CU_ASSERT_STRING_EQUAL (a->address, b->address);
  CU_ASSERT_STRING_EQUAL (a->failure_domain, b->failure_domain);
  CU_ASSERT_EQUAL (a->slots, b->slots);
  CU_ASSERT_EQUAL (a->state, b->state);
  CU_ASSERT_EQUAL (a->cold, b->cold);
  CU_ASSERT_EQUAL (a->born_ms, b->born_ms);
  CU_ASSERT_EQUAL (a->seq, b->seq);
  CU_ASSERT_EQUAL (a->expired, b->expired);
}

/* Guards against fields that are lost or swapped in encoding or decoding.  */
static void
test_update (void)
{
  const struct tk_server in[] = {
    { .id = "i-1",
      .service = "svc",
      .address = "10.0.0.1:80",
      .failure_domain = "a-1",
      .slots = 6,
      .state = TK_SERVER_DRAINING,
      .cold = 1500 * ZP_MS,
      .born_ms = 1700000000123,
      .seq = 44 },
    { .id = "i-2", .state = TK_SERVER_GONE, .expired = true },
  };
  const struct zp_str control[]
      = { ZP_STR ("10.0.0.8:1"), ZP_STR ("10.0.0.9:1") };
  const struct tk_renewal renewal[]
      = { { .start = 1ULL << 63, .seq = 1ULL << 40 }, { .start = 3 } };
  const struct ro_update u = { .number = 7,
                               .server = in,
                               .servers = 2,
                               .renewal = renewal,
                               .renewals = 2,
                               .control = control,
                               .controls = 2,
                               .entries = 420 };
  struct zp_buf b = { .ptr = NULL };
  struct ro_update out;
  void *owner;

  ro_put_update (&b, &u);
  CU_ASSERT_FATAL (ro_get_update (zp_str_of (&b), &out, &owner));
  CU_ASSERT_EQUAL (out.number, 7);
  CU_ASSERT_EQUAL (out.entries, 420);
  CU_ASSERT_EQUAL_FATAL (out.servers, 2);
  check_server (&out.server[0], &in[0]);
  check_server (&out.server[1], &in[1]);
  CU_ASSERT_EQUAL_FATAL (out.renewals, 2);
  CU_ASSERT_EQUAL (out.renewal[0].start, renewal[0].start);
  CU_ASSERT_EQUAL (out.renewal[0].seq, renewal[0].seq);
  CU_ASSERT_EQUAL (out.renewal[1].start, 3);
  CU_ASSERT_EQUAL_FATAL (out.controls, 2);
  CU_ASSERT (zp_str_eq (out.control[1], control[1]));
  ro_update_free (&out, owner);
  zp_buf_free (&b);
}

/* Likewise for the hello.  */
static void
test_hello (void)
{
  const struct tk_daemon in = { .kind = TK_DAEMON_CONTROL,
                                .id = 1ULL << 40,
                                .name = "core-1",
                                .address = "10.0.0.1:80",
                                .failure_domain = "a-1",
                                .region = "a",
                                .log_address = "10.0.0.1:70",
                                .ready = true,
                                .leaving = true };
  struct zp_buf b = { .ptr = NULL };
  struct tk_daemon out;
  uint64_t acked;

  ro_put_hello (&b, &in, 12);
  CU_ASSERT_FATAL (ro_get_hello (zp_str_of (&b), &out, &acked));
  CU_ASSERT_EQUAL (acked, 12);
  CU_ASSERT_EQUAL (out.kind, in.kind);
  CU_ASSERT_EQUAL (out.id, in.id);
  CU_ASSERT_STRING_EQUAL (out.name, in.name);
  CU_ASSERT_STRING_EQUAL (out.address, in.address);
  CU_ASSERT_STRING_EQUAL (out.failure_domain, in.failure_domain);
  CU_ASSERT_STRING_EQUAL (out.region, in.region);
  CU_ASSERT_STRING_EQUAL (out.log_address, in.log_address);
  CU_ASSERT (out.ready && out.leaving);
  zp_buf_free (&b);
}

/* Guards against an entry daemon that stops following, because one entry of an
   update cannot be used: the update has to be accepted without it, or the
   daemon connects again and gets the same entry for ever.  */
static void
test_odd_entries (void)
{
  static const struct tk_server odd[] = {
    { .id = "odd", .address = "10.0.0.1:80", .state = 9 },
    { .id = "odd", .address = "10.0.0.1:80", .slots = 4000000000u },
    { .id = "odd", .address = "10.0.0.1:80", .cold = ZP_NEVER },
    { .id = "odd", .address = "10.0.0.1:65536" },
    { .id = "odd", .address = "10.0.0.1:0" },
    { .id = "odd", .address = "0.0.0.0:80" },
    { .id = "odd", .address = "server.example:80" },
    { .id = "odd" },
  };

  for (size_t i = 0; i < sizeof odd / sizeof odd[0]; i++)
    {
      const struct tk_server list[]
          = { { .id = "before", .address = "10.0.0.2:80" },
              odd[i],
              { .id = "after", .address = "10.0.0.3:80" } };
      const struct ro_update u = { .server = list, .servers = 3 };
      struct zp_buf b = { .ptr = NULL };
      struct ro_update out;
      void *owner;

      ro_put_update (&b, &u);
      CU_ASSERT_FATAL (ro_get_update (zp_str_of (&b), &out, &owner));
      CU_ASSERT_EQUAL (out.unreadable, 1);
      CU_ASSERT_EQUAL_FATAL (out.servers, 2);
      CU_ASSERT_STRING_EQUAL (out.server[0].id, "before");
      CU_ASSERT_STRING_EQUAL (out.server[1].id, "after");
      ro_update_free (&out, owner);
      zp_buf_free (&b);
    }
}

/* Guards against reading beyond the end: every prefix of a message is refused
   or is a valid message.  */
static void
test_malformed (void)
{
  const struct tk_server s = { .id = "i-1", .address = "10.0.0.1:80" };
  const struct ro_update u = { .server = &s, .servers = 1 };
  struct zp_buf b = { .ptr = NULL };
  struct ro_update out;
  void *owner;
  uint64_t n;

  ro_put_update (&b, &u);
  for (size_t i = 0; i < b.len; i++)
    {
      struct zp_str prefix = { .ptr = b.ptr, .len = i };
      ro_get_update (prefix, &out, &owner);
      ro_update_free (&out, owner);
    }
  CU_ASSERT (!ro_get_ack (ZP_STR ("\xff\xff\xff"), &n));
  zp_buf_clear (&b);
  ro_put_ack (&b, 99);
  CU_ASSERT (ro_get_ack (zp_str_of (&b), &n));
  CU_ASSERT_EQUAL (n, 99);
  zp_buf_free (&b);
}

/* Guards against samples that are lost or mixed up on the way, and against an
   age that is rounded down, so that a sample seems to be of a later start of
   its server.  */
static void
test_work (void)
{
  struct tk_work_item item = { .server = 0xfedcba98, .count = 300 };
  struct tk_work_load load[]
      = { { .server = 0xfedcba98, .requests = 17, .age = 250 * ZP_MS },
          { .server = 1,
            .requests = 2 * ZP_SERVER_SLOTS_MAX,
            .pace = ZP_SERVER_PACE_MAX,
            .age = 1 } };
  const struct tk_work in
      = { .item = &item, .len = 1, .load = load, .loads = 2 };
  struct zp_buf b = { .ptr = NULL };
  struct tk_work w;

  ro_put_work (&b, &in);
  CU_ASSERT_FATAL (ro_get_work (zp_str_of (&b), &w));
  CU_ASSERT_EQUAL_FATAL (w.len, 1);
  CU_ASSERT_EQUAL (w.item[0].server, 0xfedcba98);
  CU_ASSERT_EQUAL (w.item[0].count, 300);
  CU_ASSERT_EQUAL_FATAL (w.loads, 2);
  CU_ASSERT_EQUAL (w.load[0].server, 0xfedcba98);
  CU_ASSERT_EQUAL (w.load[0].requests, 17);
  CU_ASSERT_EQUAL (w.load[0].pace, 0);
  CU_ASSERT_EQUAL (w.load[0].age, 250 * ZP_MS);
  CU_ASSERT_EQUAL (w.load[1].requests, 2 * ZP_SERVER_SLOTS_MAX);
  CU_ASSERT_EQUAL (w.load[1].pace, ZP_SERVER_PACE_MAX);
  CU_ASSERT_EQUAL (w.load[1].age, ZP_MS);
  free (w.item);
  free (w.load);
  zp_buf_free (&b);
}

/* Guards against reading beyond a shorter list, and against figures that no
   server states.  */
static void
test_malformed_work (void)
{
  static const char *const lists[] = {
    "\x22\x04\1\1\1\1",                     /* servers only */
    "\x22\x04\1\1\1\1\x2a\x01\1\x32\x01\1", /* no ages */
    "\x22\x04\1\1\1\1\x2a\x01\1\x3a\x01\1", /* no paces */
    "\x22\x04\1\1\1\1\x32\x01\1\x3a\x01\1", /* no requests */
    "\x2a\x01\1\x32\x01\1\x3a\x01\1",       /* no servers */
    "\x22\x04\1\1\1\1\x2a\x02\1\1\x32\x01\1\x3a\x01\1",
    "\x22\x04\1\1\1\1\x2a\x03\xa1\x9c\1\x32\x01\1\x3a\x01\1",
    "\x22\x04\1\1\1\1\x2a\x01\1\x32\x03\xa1\x8d\6\x3a\x01\1",
  };
  struct tk_work w;

  for (size_t i = 0; i < sizeof lists / sizeof lists[0]; i++)
    {
      CU_ASSERT (!ro_get_work (zp_str_from (lists[i]), &w));
      free (w.item);
      free (w.load);
    }
  CU_ASSERT (ro_get_work (
      ZP_STR ("\x22\x04\1\1\1\1\x2a\x01\1\x32\x01\1\x3a\x01\1"), &w));
  free (w.item);
  free (w.load);
}

/* Guards against a field of the answer to a ping that is lost: without LEADS no
   ask finds the owner of the rate limits.  */
static void
test_ping (void)
{
  for (unsigned i = 0; i < 4; i++)
    {
      const struct ro_ping in = { .fresh = i & 1,
                                  .leads = i & 2,
                                  .region = ZP_STR ("a"),
                                  .failure_domain = ZP_STR ("a-1") };
      struct zp_buf b = { .ptr = NULL };
      char region[ZP_NAME_MAX], domain[ZP_NAME_MAX];
      bool fresh, leads;

      ro_put_ping (&b, &in);
      CU_ASSERT (ro_get_ping (zp_str_of (&b), &fresh, &leads, region, domain));
      CU_ASSERT_EQUAL (fresh, in.fresh);
      CU_ASSERT_EQUAL (leads, in.leads);
      CU_ASSERT_STRING_EQUAL (region, "a");
      CU_ASSERT_STRING_EQUAL (domain, "a-1");
      zp_buf_free (&b);
    }
}

/* Guards against fields of asks that are lost or swapped.  */
static void
test_quota_ask (void)
{
  struct tk_quota_ask_item item[] = { { .workspace = 1ULL << 63,
                                        .rate_share = TK_QUOTA_WHOLE,
                                        .burst_share = 2,
                                        .applied = 1ULL << 40,
                                        .demand = 12.345,
                                        .want = 7 },
                                      { .workspace = 5, .demand = 1e30 },
                                      { .workspace = 6, .demand = -1 } };
  const struct tk_quota_ask in = { .holder = 1ULL << 33,
                                   .incarnation = 1ULL << 62,
                                   .number = 9,
                                   .item = item,
                                   .len = 3 };
  struct zp_buf b = { .ptr = NULL };
  struct tk_quota_ask out;

  ro_put_quota_ask (&b, &in);
  CU_ASSERT_FATAL (ro_get_quota_ask (zp_str_of (&b), &out));
  CU_ASSERT_EQUAL (out.holder, in.holder);
  CU_ASSERT_EQUAL (out.incarnation, in.incarnation);
  CU_ASSERT_EQUAL (out.number, 9);
  CU_ASSERT_EQUAL_FATAL (out.len, 3);
  CU_ASSERT_EQUAL (out.item[0].workspace, 1ULL << 63);
  CU_ASSERT_EQUAL (out.item[0].rate_share, TK_QUOTA_WHOLE);
  CU_ASSERT_EQUAL (out.item[0].burst_share, 2);
  CU_ASSERT_EQUAL (out.item[0].applied, 1ULL << 40);
  CU_ASSERT_DOUBLE_EQUAL (out.item[0].demand, 12.345, 0.001);
  CU_ASSERT_EQUAL (out.item[0].want, 7);
  CU_ASSERT (out.item[1].demand > 4e6);
  CU_ASSERT (out.item[2].demand >= 0 && out.item[2].demand < 0.001);
  free (out.item);
  zp_buf_free (&b);
}

/* The same for grants.  */
static void
test_quota_grant (void)
{
  struct tk_quota_grant_item item[] = { { .workspace = 1ULL << 63,
                                          .rate_share = 3,
                                          .burst_share = TK_QUOTA_WHOLE,
                                          .tokens = 4,
                                          .wanted = 5 } };
  const struct tk_quota_grant in = { .holder = 1ULL << 33,
                                     .incarnation = 1ULL << 62,
                                     .number = 9,
                                     .term = 10,
                                     .grant = 11,
                                     .ttl = 6 * ZP_SEC,
                                     .period = 250 * ZP_MS,
                                     .item = item,
                                     .len = 1 };
  struct zp_buf b = { .ptr = NULL };
  struct tk_quota_grant out;

  ro_put_quota_grant (&b, &in);
  CU_ASSERT_FATAL (ro_get_quota_grant (zp_str_of (&b), &out));
  CU_ASSERT_EQUAL (out.holder, in.holder);
  CU_ASSERT_EQUAL (out.incarnation, in.incarnation);
  CU_ASSERT_EQUAL (out.number, 9);
  CU_ASSERT_EQUAL (out.term, 10);
  CU_ASSERT_EQUAL (out.grant, 11);
  CU_ASSERT_EQUAL (out.ttl, in.ttl);
  CU_ASSERT_EQUAL (out.period, in.period);
  CU_ASSERT_EQUAL_FATAL (out.len, 1);
  CU_ASSERT_EQUAL (out.item[0].workspace, 1ULL << 63);
  CU_ASSERT_EQUAL (out.item[0].rate_share, 3);
  CU_ASSERT_EQUAL (out.item[0].burst_share, TK_QUOTA_WHOLE);
  CU_ASSERT_EQUAL (out.item[0].tokens, 4);
  CU_ASSERT_EQUAL (out.item[0].wanted, 5);
  free (out.item);
  zp_buf_free (&b);
}

/* Guards against asks and grants of another writer that are taken although
   their lists have different lengths, hold too many workspaces, or give more
   than the whole limit.  */
static void
test_malformed_quotas (void)
{
  uint64_t many[RO_QUOTA_ITEMS_MAX + 1] = { 0 };
  uint32_t more[RO_QUOTA_ITEMS_MAX + 1] = { 0 };
  Wire__RosterQuotaAsk a = WIRE__ROSTER_QUOTA_ASK__INIT;
  Wire__RosterQuotaGrant g = WIRE__ROSTER_QUOTA_GRANT__INIT;
  struct tk_quota_ask ask;
  struct tk_quota_grant grant;
  struct zp_buf b = { .ptr = NULL };

  a.workspaces = a.applied = g.workspaces = many;
  a.rate_shares = a.burst_shares = a.demands_milli = a.wants = more;
  g.rate_shares = g.burst_shares = g.tokens = g.wanted = more;
  for (size_t n = 1; n <= RO_QUOTA_ITEMS_MAX + 1; n++)
    for (unsigned odd = 0; odd < 4; odd++)
      {
        bool good = n <= RO_QUOTA_ITEMS_MAX && odd == 0;
        a.n_workspaces = a.n_rate_shares = a.n_burst_shares = a.n_applied
            = a.n_demands_milli = a.n_wants = n;
        g.n_workspaces = g.n_rate_shares = g.n_burst_shares = g.n_tokens
            = g.n_wanted = n;
        a.n_wants = g.n_wanted = odd == 1 ? n - 1 : n;
        a.n_rate_shares = g.n_rate_shares = odd == 2 ? n - 1 : n;
        more[0] = odd == 3 ? TK_QUOTA_WHOLE + 1 : 0;
        zp_buf_clear (&b);
        wi_pack (&b, &a.base);
        CU_ASSERT_EQUAL (ro_get_quota_ask (zp_str_of (&b), &ask), good);
        free (ask.item);
        zp_buf_clear (&b);
        wi_pack (&b, &g.base);
        CU_ASSERT_EQUAL (ro_get_quota_grant (zp_str_of (&b), &grant), good);
        free (grant.item);
      }
  g.ttl_us = UINT64_MAX;
  zp_buf_clear (&b);
  wi_pack (&b, &g.base);
  CU_ASSERT (!ro_get_quota_grant (zp_str_of (&b), &grant));
  CU_ASSERT (!ro_get_quota_ask (ZP_STR ("\xff\xff\xff"), &ask));
  CU_ASSERT (!ro_get_quota_grant (ZP_STR ("\xff\xff\xff"), &grant));
  zp_buf_free (&b);
}

static const struct zp_test tests[]
    = { { "updates", test_update },
        { "hellos", test_hello },
        { "odd entries", test_odd_entries },
        { "malformed messages", test_malformed },
        { "work", test_work },
        { "malformed work", test_malformed_work },
        { "answers to pings", test_ping },
        { "asks for rate limits", test_quota_ask },
        { "grants of rate limits", test_quota_grant },
        { "malformed asks and grants", test_malformed_quotas } };

TEST_MAIN ("roster-codec", tests)
