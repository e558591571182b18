#include "harness.h"

#include "control/daemons.h"

static struct tk_daemon
entry (uint64_t id, const char *region, bool ready)
{
  struct tk_daemon d = { .kind = TK_DAEMON_ENTRY, .id = id, .ready = ready };

  snprintf (d.address, sizeof d.address, "10.0.0.%d:80", (int) id);
  zp_str_copy (d.region, sizeof d.region, zp_str_from (region));
  return d;
}

static void
put (struct ct_daemons *d, struct tk_daemon info, zp_time now)
{
  CU_ASSERT (ct_daemons_update (d, &info, now));
}

/* Guards against giving callers the address of a daemon that is lost, leaving
   or not ready, and against an answer without an address while a daemon could
   serve.  */
static void
test_entries (void)
{
  struct ct_daemons d = { .len = 0 };
  struct zp_str out[8];
  struct tk_daemon control = { .kind = TK_DAEMON_CONTROL, .id = 90 };

  CU_ASSERT_EQUAL (ct_daemons_entries (&d, ZP_STR ("a"), out, 8), 0);
  put (&d, control, 1);
  put (&d, entry (1, "a", false), 1);
  CU_ASSERT_EQUAL (ct_daemons_entries (&d, ZP_STR ("a"), out, 8), 1);
  put (&d, entry (2, "b", true), 1);
  CU_ASSERT_EQUAL (ct_daemons_entries (&d, ZP_STR ("a"), out, 8), 1);
  CU_ASSERT (zp_str_eq (out[0], ZP_STR ("10.0.0.2:80")));
  put (&d, entry (1, "a", true), 1);
  put (&d, entry (3, "a", true), 1);
  CU_ASSERT_EQUAL (ct_daemons_entries (&d, ZP_STR ("a"), out, 8), 2);
  CU_ASSERT_EQUAL (ct_daemons_entries (&d, ZP_STR ("a"), out, 1), 1);

  struct tk_daemon leaving = entry (3, "a", true);
  leaving.leaving = true;
  put (&d, leaving, 2);
  CU_ASSERT_EQUAL (ct_daemons_entries (&d, ZP_STR ("a"), out, 8), 1);
  struct tk_daemon lost = entry (1, "a", true);
  lost.lost = true;
  put (&d, lost, 2);
  CU_ASSERT_EQUAL (ct_daemons_entries (&d, ZP_STR ("a"), out, 8), 1);
  CU_ASSERT (zp_str_eq (out[0], ZP_STR ("10.0.0.2:80")));
  ct_daemons_free (&d);
}

/* Guards against a table that grows with every daemon that ever connected.  */
static void
test_expire (void)
{
  struct ct_daemons d = { .len = 0 };
  struct tk_daemon lost = entry (1, "a", true);

  lost.lost = true;
  put (&d, entry (1, "a", true), 0);
  put (&d, lost, ZP_SEC);
  put (&d, entry (2, "a", true), 0);
  ct_daemons_expire (&d, ZP_SEC + CT_LOST_TTL);
  CU_ASSERT_EQUAL (d.len, 2);
  ct_daemons_expire (&d, ZP_SEC + CT_LOST_TTL + 1);
  CU_ASSERT_EQUAL_FATAL (d.len, 1);
  CU_ASSERT_EQUAL (d.item[0].info.id, 2);
  ct_daemons_free (&d);
}

static const struct zp_test tests[]
    = { { "entry VMs for a caller", test_entries },
        { "lost daemons are removed", test_expire } };

TEST_MAIN ("daemons", tests)
