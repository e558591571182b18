#include "harness.h"

#include "peer/members.h"

/* Silence after which a member of the own region becomes suspect.  */
#define REGION_SILENCE (ZP_HEARTBEAT_MISSED * ZP_HEARTBEAT_REGION)

static struct pe_hello
hello (uint64_t id, uint64_t incarnation, const char *region, const char *wire)
{
  return (struct pe_hello){ .id = id,
                            .incarnation = incarnation,
                            .failure_domain = ZP_STR ("w1"),
                            .region = zp_str_from (region),
                            .http = ZP_STR ("127.0.0.1:80"),
                            .wire = zp_str_from (wire) };
}

/* Guards against marking a daemon down because one connection is silent.  */
static void
test_suspect_before_down (void)
{
  struct pe_members m;
  struct pe_hello h = hello (2, 10, "west", "127.0.0.2:1");
  int i;

  pe_members_init (&m, 1, ZP_STR ("west"));
  CU_ASSERT_EQUAL (pe_members_hello (&m, &h, 0, &i), PE_CAME_UP);
  CU_ASSERT_EQUAL (pe_members_tick (&m, i, REGION_SILENCE), PE_NOTHING);
  CU_ASSERT_EQUAL (pe_members_tick (&m, i, REGION_SILENCE + 1), PE_PROBE);
  CU_ASSERT_EQUAL (pe_members_tick (&m, i, REGION_SILENCE + 2), PE_NOTHING);
  CU_ASSERT_EQUAL (pe_members_heartbeat (&m, i, 10, false, REGION_SILENCE + 3),
                   PE_NOTHING);
  CU_ASSERT_EQUAL (m.item[i].state, PE_ALIVE);
  zp_time late = 3 * REGION_SILENCE + 4;
  CU_ASSERT_EQUAL (pe_members_tick (&m, i, late), PE_PROBE);
  CU_ASSERT_EQUAL (pe_members_tick (&m, i, late), PE_WENT_DOWN);
  CU_ASSERT_EQUAL (pe_members_heartbeat (&m, i, 10, false, late + 1),
                   PE_CAME_UP);
  pe_members_free (&m);
}

/* Guards against messages of an earlier incarnation of a daemon that are
   applied to the restarted daemon.  */
static void
test_older_incarnation_is_ignored (void)
{
  struct pe_members m;
  struct pe_hello now = hello (2, 10, "west", "127.0.0.2:1");
  struct pe_hello old = hello (2, 9, "west", "127.0.0.2:1");
  int i;

  pe_members_init (&m, 1, ZP_STR ("west"));
  pe_members_hello (&m, &now, 0, &i);
  int first = i;
  CU_ASSERT_EQUAL (pe_members_hello (&m, &old, 5, &i), PE_NOTHING);
  CU_ASSERT_EQUAL (i, -1);
  CU_ASSERT_EQUAL (m.item[first].incarnation, 10);
  pe_members_heartbeat (&m, first, 9, false, 7 * ZP_SEC);
  CU_ASSERT_EQUAL (m.item[first].received_at, 0);
  struct pe_hello next = hello (2, 11, "west", "127.0.0.2:1");
  CU_ASSERT_EQUAL (pe_members_hello (&m, &next, 8 * ZP_SEC, &i), PE_CHANGED);
  pe_members_free (&m);
}

/* Guards against waiting for heartbeats of a process that has ended.  */
static void
test_refused_connection_is_down (void)
{
  struct pe_members m;
  struct pe_hello h = hello (2, 10, "west", "127.0.0.2:1");
  int i;

  pe_members_init (&m, 1, ZP_STR ("west"));
  pe_members_hello (&m, &h, 0, &i);
  CU_ASSERT_EQUAL (pe_members_refused (&m, i), PE_WENT_DOWN);
  CU_ASSERT_EQUAL (pe_members_refused (&m, i), PE_NOTHING);
  pe_members_free (&m);
}

/* Guards against a leaving flag that is not reported or survives a
   restart.  */
static void
test_leaving_is_a_change (void)
{
  struct pe_members m;
  struct pe_hello h = hello (2, 10, "west", "127.0.0.2:1");
  int i;

  pe_members_init (&m, 1, ZP_STR ("west"));
  pe_members_hello (&m, &h, 0, &i);
  CU_ASSERT_EQUAL (pe_members_heartbeat (&m, i, 10, true, 1), PE_CHANGED);
  CU_ASSERT (m.item[i].leaving);
  h.incarnation = 11;
  CU_ASSERT_EQUAL (pe_members_hello (&m, &h, 2, &i), PE_CHANGED);
  CU_ASSERT (!m.item[i].leaving);
  pe_members_free (&m);
}

/* Guards against a full mesh across regions, which is too expensive for 420
   daemons.  */
static void
test_remote_links_are_limited (void)
{
  struct pe_members m;
  char wire[ZP_ADDRESS_MAX];
  int links = 0, i;

  pe_members_init (&m, 1, ZP_STR ("west"));
  for (unsigned n = 2; n < 50; n++)
    {
      snprintf (wire, sizeof wire, "127.0.1.%u:1", n);
      struct pe_hello h = hello (n, 1, "east", wire);
      CU_ASSERT_EQUAL (pe_members_hello (&m, &h, 0, &i), PE_CAME_UP);
    }
  struct pe_hello near = hello (100, 1, "west", "127.0.0.9:1");
  pe_members_hello (&m, &near, 0, &i);
  CU_ASSERT (pe_members_wants_link (&m, i));
  for (size_t k = 0; k < m.len; k++)
    if (m.item[k].id != 100 && pe_members_wants_link (&m, (int) k))
      links++;
  CU_ASSERT_EQUAL (links, ZP_REMOTE_LINKS);
  pe_members_free (&m);
}

/* Guards against accepting the own hello of the daemon, a hello with the
   address of a live member, or a hello whose texts are too long.  */
static void
test_ignored_hellos (void)
{
  struct pe_members m;
  struct pe_hello self = hello (1, 5, "west", "127.0.0.1:1");
  struct pe_hello first = hello (2, 5, "west", "127.0.0.2:1");
  struct pe_hello duplicate = hello (3, 5, "west", "127.0.0.2:1");
  int i;

  pe_members_init (&m, 1, ZP_STR ("west"));
  pe_members_hello (&m, &self, 0, &i);
  CU_ASSERT_EQUAL (i, -1);
  pe_members_hello (&m, &first, 0, &i);
  pe_members_hello (&m, &duplicate, 0, &i);
  CU_ASSERT_EQUAL (i, -1);
  char long_name[ZP_NAME_MAX + 8];
  memset (long_name, 'x', sizeof long_name);
  struct pe_hello big = hello (4, 5, "west", "127.0.0.4:1");
  big.failure_domain
      = (struct zp_str){ .ptr = long_name, .len = sizeof long_name };
  pe_members_hello (&m, &big, 0, &i);
  CU_ASSERT_EQUAL (i, -1);
  pe_members_free (&m);
}

static const struct zp_test tests[] = {
  { "suspect before down", test_suspect_before_down },
  { "an older incarnation is ignored", test_older_incarnation_is_ignored },
  { "a refused connection is down at once", test_refused_connection_is_down },
  { "leaving is a change", test_leaving_is_a_change },
  { "links to other regions are limited", test_remote_links_are_limited },
  { "hellos that are ignored", test_ignored_hellos }
};

TEST_MAIN ("members", tests)
