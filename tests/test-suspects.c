/* Tests which servers get a connection for each request.  */

#include "harness.h"

#include "base/str.h"
#include "forward/suspects.h"

/* Guards against a server whose connections are used again while its copies can
   still come, and against one that is suspected for ever.  */
static void
test_period (void)
{
  struct fw_suspects s = { .entry = NULL };

  CU_ASSERT_FALSE (fw_suspects_has (&s, 7, 0));
  fw_suspects_note (&s, 7, 5);
  CU_ASSERT (fw_suspects_has (&s, 7, 5));
  CU_ASSERT (fw_suspects_has (&s, 7, 4 + FW_SUSPECT_PERIOD));
  CU_ASSERT_FALSE (fw_suspects_has (&s, 8, 5));
  CU_ASSERT_FALSE (fw_suspects_has (&s, 7, 5 + FW_SUSPECT_PERIOD));
  fw_suspects_note (&s, 7, 10);
  CU_ASSERT (fw_suspects_has (&s, 7, 9 + FW_SUSPECT_PERIOD));
  fw_suspects_free (&s);
}

/* Guards against a table that forgets most servers of a large deployment.  */
static void
test_many_servers (void)
{
  struct fw_suspects s = { .entry = NULL };
  unsigned known = 0;
  char address[32];

  for (int round = 0; round < 2; round++)
    for (int i = 0; i < 1000; i++)
      {
        snprintf (address, sizeof address, "10.0.%d.%d:80", i / 250, i % 250);
        uint64_t server = zp_str_hash (zp_str_from (address), 0);
        if (round == 0)
          fw_suspects_note (&s, server, 0);
        else
          known += fw_suspects_has (&s, server, 1);
      }
  printf ("%u of 1000 known ", known);
  CU_ASSERT (known >= 800);
  fw_suspects_free (&s);
}

static const struct zp_test tests[] = {
  { "the period", test_period },
  { "many servers", test_many_servers },
};

TEST_MAIN ("suspects", tests)
