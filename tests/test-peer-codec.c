#include "harness.h"

#include <stdlib.h>

#include "base/rng.h"
#include "peer/codec.h"
#include "peer/lease_codec.h"
#include "peer/link_codec.h"
#include "peer/report_codec.h"
#include "wire/bytes.h"

static const struct st_lease_id id
    = { .owner = 3, .epoch = 1764846000000000, .number = 9 };

static struct st_grant
grant_of (enum st_grant_kind kind)
{
  struct st_grant g = { .kind = kind, .to = 7, .request = 5, .id = id };

  switch (kind)
    {
    case ST_GRANT_NEW:
      strcpy (g.u.lend.server, "b1");
      strcpy (g.u.lend.service, "booking");
      strcpy (g.u.lend.address, "127.0.0.1:9");
      g.u.lend.slots = 2;
      g.u.lend.connections = 40;
      g.u.lend.ttl = ZP_LEASE_TTL;
      break;
    case ST_GRANT_RENEWED:
      g.u.renewed.slots = 3;
      g.u.renewed.keep = 1;
      g.u.renewed.ttl = ZP_LEASE_TTL / 2;
      break;
    case ST_GRANT_SHORTAGE:
      g.u.shortage.missing = 4;
      break;
    case ST_GRANT_RECALL:
      g.u.recall.keep = 1;
      break;
    case ST_GRANT_MOVED:
      g.u.moved.owner = 8;
      break;
    }
  return g;
}

/* Guards against a field that is lost in encoding or decoding, which would
   change a lease.  */
static void
test_grants_of_every_kind (void)
{
  for (int k = ST_GRANT_NEW; k <= ST_GRANT_MOVED; k++)
    {
      struct st_grant in = grant_of ((enum st_grant_kind) k), out;
      struct zp_buf b = { .ptr = NULL }, again = { .ptr = NULL };
      pe_put_grant (&b, &in);
      CU_ASSERT (pe_get_grant (zp_str_of (&b), 7, &out));
      pe_put_grant (&again, &out);
      CU_ASSERT (zp_str_eq (zp_str_of (&b), zp_str_of (&again)));
      CU_ASSERT (out.to == 7 && out.request == 5);
      CU_ASSERT (b.len > 10);
      zp_buf_free (&again);
      zp_buf_free (&b);
    }
}

/* Guards against lost or swapped fields of the other lease messages.  */
static void
test_request_return_and_handover (void)
{
  struct st_lease_keep keep[2]
      = { { .id = id, .slots = 2 }, { .id = id, .slots = 3 } };
  struct st_action request = { .kind = ST_ACTION_REQUEST };
  struct st_handover_lease lease
      = { .id = id, .holder = 4, .slots = 2, .per_slot = 30, .left = ZP_SEC };
  struct st_handover h
      = { .uptime = 5 * ZP_SEC, .lease = &lease, .leases = 1 };
  struct st_handover got;
  struct zp_buf b = { .ptr = NULL };
  struct st_lease_request out;
  struct st_lease_keep *list, one;
  void *owner;

  request.u.request.number = 6;
  strcpy (request.u.request.service, "booking");
  request.u.request.want = 3;
  request.u.request.keep = keep;
  request.u.request.keeps = 2;
  pe_put_lease_request (&b, &request);
  CU_ASSERT_FATAL (
      pe_get_lease_request (zp_str_of (&b), 7, &out, &list, &owner));
  CU_ASSERT (zp_str_eq (out.service, ZP_STR ("booking")));
  CU_ASSERT (out.from == 7 && out.want == 3 && out.keeps == 2);
  CU_ASSERT (st_lease_id_eq (&out.keep[1].id, &id));
  CU_ASSERT (out.keep[0].slots == 2 && out.keep[1].slots == 3);
  free (list);
  wi_free (owner);
  zp_buf_clear (&b);
  pe_put_lease_return (&b, &keep[1]);
  CU_ASSERT (pe_get_lease_return (zp_str_of (&b), &one));
  CU_ASSERT (st_lease_id_eq (&one.id, &id) && one.slots == 3);
  zp_buf_clear (&b);
  strcpy (h.server, "b1");
  pe_put_handover (&b, &h);
  CU_ASSERT_FATAL (pe_get_handover (zp_str_of (&b), 12, &got));
  CU_ASSERT (got.at == 12 && got.uptime == h.uptime && got.leases == 1);
  CU_ASSERT (got.lease[0].holder == 4 && got.lease[0].slots == 2);
  CU_ASSERT (got.lease[0].per_slot == 30 && got.lease[0].left == ZP_SEC);
  st_handover_free (&got);
  zp_buf_free (&b);
}

static void
add_free_slots (void *self, const struct pe_service_slots *s)
{
  *(unsigned *) self += s->free;
}

/* Guards against lost or swapped fields of summaries and poison reports.  */
static void
test_summary_and_poison_report (void)
{
  struct pe_service_slots services[2]
      = { { .name = ZP_STR ("a"), .free = 2, .slots = 4 },
          { .name = ZP_STR ("b"), .free = 5, .slots = 6 } };
  struct pe_summary s = { .incarnation = 1, .generation = 2, .number = 3 },
                    got;
  struct st_poison_report r
      = { .kind = ST_POISON_UPDATE, .fp = { 1, 2 }, .origin = 3, .losses = 2 };
  struct st_poison_report back;
  struct zp_buf b = { .ptr = NULL };
  unsigned sum = 0;

  r.loss[1] = (struct st_loss){ .server = 7, .trial = 8, .age = ZP_SEC };
  pe_put_summary (&b, &s, services, 2);
  CU_ASSERT (pe_get_summary (zp_str_of (&b), &got, add_free_slots, &sum));
  CU_ASSERT (memcmp (&s, &got, sizeof s) == 0);
  CU_ASSERT_EQUAL (sum, 7);
  zp_buf_clear (&b);
  pe_put_poison (&b, &r);
  CU_ASSERT (pe_get_poison (zp_str_of (&b), &back));
  CU_ASSERT (back.fp.hi == 1 && back.fp.lo == 2 && back.losses == 2);
  CU_ASSERT (back.loss[1].server == 7 && back.loss[1].trial == 8);
  CU_ASSERT (back.loss[1].age == ZP_SEC && back.origin == 3);
  zp_buf_free (&b);
}

/* Guards against lost or swapped fields of messages about links, and against a
   lease that is longer than allowed.  */
static void
test_link_messages (void)
{
  struct pe_direction d = { .from = "west", .to = "east" }, e;
  struct st_link_grant g = { .owner = 1,
                             .epoch = 2,
                             .number = 3,
                             .request = 4,
                             .rate = 1000000,
                             .ttl = ZP_LEASE_TTL };
  struct st_link_grant back;
  struct pe_link_request a = { .number = 5, .want = 10 }, got;
  struct zp_buf b = { .ptr = NULL };

  pe_put_link_grant (&b, &d, &g);
  CU_ASSERT (pe_get_link_grant (zp_str_of (&b), &e, &back));
  CU_ASSERT (memcmp (&g, &back, sizeof g) == 0);
  CU_ASSERT_STRING_EQUAL (e.to, "east");
  /* The owner of the link counts a lease for at most ZP_LEASE_TTL: a longer
     one would be used after that.  */
  zp_buf_clear (&b);
  g.ttl = ZP_LEASE_TTL + 1;
  pe_put_link_grant (&b, &d, &g);
  CU_ASSERT (!pe_get_link_grant (zp_str_of (&b), &e, &back));
  zp_buf_clear (&b);
  pe_put_link_request (&b, &d, &a);
  CU_ASSERT (pe_get_link_request (zp_str_of (&b), &e, &got));
  CU_ASSERT (got.want == 10 && got.number == 5);
  zp_buf_free (&b);
}

/* Guards against a crash on malformed payloads.  */
static void
test_random_bytes (void)
{
  struct zp_rng rng;
  char bytes[64];

  zp_rng_seed (&rng, 1);
  for (int i = 0; i < 20000; i++)
    {
      size_t n = zp_rng_below (&rng, sizeof bytes);
      for (size_t k = 0; k < n; k++)
        bytes[k] = (char) zp_rng_below (&rng, 256);
      struct zp_str s = { .ptr = bytes, .len = n };
      struct st_grant g;
      struct st_lease_request a;
      struct st_lease_keep *list = NULL, one;
      struct st_handover h;
      struct st_poison_report r;
      struct st_link_grant lg;
      struct pe_direction d;
      struct pe_hello hello;
      void *owner;
      unsigned sum = 0;
      struct pe_summary sm;
      pe_get_grant (s, 1, &g);
      if (pe_get_lease_request (s, 1, &a, &list, &owner))
        free (list);
      wi_free (owner);
      pe_get_lease_return (s, &one);
      if (pe_get_handover (s, 0, &h))
        st_handover_free (&h);
      pe_get_poison (s, &r);
      pe_get_link_grant (s, &d, &lg);
      pe_get_summary (s, &sm, add_free_slots, &sum);
      pe_get_hello (s, &hello, &owner);
      wi_free (owner);
    }
  CU_PASS ("no crash");
}

static const struct zp_test tests[]
    = { { "grants of every kind", test_grants_of_every_kind },
        { "request, return and hand-over", test_request_return_and_handover },
        { "summary and poison report", test_summary_and_poison_report },
        { "link messages", test_link_messages },
        { "random bytes", test_random_bytes } };

TEST_MAIN ("peer-codec", tests)
