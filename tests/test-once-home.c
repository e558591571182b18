#include "harness.h"

#include "base/limits.h"
#include "once/home.h"

#define CANDIDATE(n, fd, r)                                                   \
  {                                                                           \
    .ref = { .id = (n), .incarnation = 7, .generation = 1 },                  \
    .failure_domain = ZP_STR (fd), .region = ZP_STR (r)                       \
  }

static const struct oc_candidate self = CANDIDATE (1, "a1", "west");

static struct oc_home
choose (const struct oc_candidate *candidates, size_t count, uint32_t seed)
{
  struct zp_rng rng;
  struct oc_home h;

  zp_rng_seed (&rng, seed);
  oc_home_choose (&h, &self, candidates, count, &rng);
  return h;
}

/* Guards against a home whose members all depend on one failure domain or one
   region while others are reachable.  */
static void
test_members_are_in_different_places (void)
{
  const struct oc_candidate candidates[]
      = { CANDIDATE (1, "a1", "west"), CANDIDATE (2, "a1", "west"),
          CANDIDATE (3, "a2", "west"), CANDIDATE (4, "a3", "west"),
          CANDIDATE (5, "b1", "east"), CANDIDATE (6, "c1", "north") };
  bool seen[7] = { false };

  for (uint32_t seed = 0; seed < 50; seed++)
    {
      struct oc_home h = choose (candidates, 6, seed);
      CU_ASSERT_EQUAL (h.count, 3);
      CU_ASSERT_EQUAL (h.member[0].id, 1);
      CU_ASSERT (h.member[1].id == 3 || h.member[1].id == 4);
      CU_ASSERT (h.member[2].id == 5 || h.member[2].id == 6);
      seen[h.member[1].id] = seen[h.member[2].id] = true;
    }
  CU_ASSERT (seen[3] && seen[4] && seen[5] && seen[6]);
}

/* Guards against a home of two members, which is less available than one
   member, and against a home with members that are not reachable.  */
static void
test_few_reachable_daemons (void)
{
  const struct oc_candidate region[]
      = { CANDIDATE (2, "a1", "west"), CANDIDATE (3, "a2", "west") };
  const struct oc_candidate alone_in_region[]
      = { CANDIDATE (5, "b1", "east"), CANDIDATE (6, "b2", "east"),
          CANDIDATE (7, "c1", "north") };
  struct oc_home h = choose (region, 2, 1);

  CU_ASSERT_EQUAL (h.count, 3);
  h = choose (alone_in_region, 3, 1);
  CU_ASSERT_EQUAL (h.count, 3);
  CU_ASSERT (oc_home_find (&h, 7) != NULL);
  CU_ASSERT_EQUAL (choose (region, 1, 1).count, 1);
  CU_ASSERT_EQUAL (choose (NULL, 0, 1).count, 1);
}

/* Guards against tokens that are too long for a key.  */
static void
test_longest_token (void)
{
  struct oc_home h = { .count = 3 }, back;
  struct zp_buf b = { .ptr = NULL };
  struct zp_err err;

  for (size_t i = 0; i < 3; i++)
    h.member[i]
        = (struct oc_member_ref){ UINT64_MAX - i, UINT64_MAX, UINT64_MAX };
  oc_home_format (&b, &h);
  CU_ASSERT (oc_home_parse (zp_str_of (&b), &back, &err));
  CU_ASSERT (memcmp (&h, &back, sizeof h) == 0);
  zp_buf_put (&b, ZP_STR ("."));
  for (int i = 0; i < OC_UNIQUE_MAX; i++)
    zp_buf_put (&b, ZP_STR ("x"));
  CU_ASSERT (b.len <= ZP_KEY_MAX);
  CU_ASSERT (oc_key_parse (zp_str_of (&b), &back, &err));
  CU_ASSERT_EQUAL (oc_home_quorum (&back), 2);
  zp_buf_put (&b, ZP_STR ("x"));
  CU_ASSERT_FALSE (oc_key_parse (zp_str_of (&b), &back, &err));
  zp_buf_free (&b);
}

/* Guards against a member that counts twice for a quorum, and against two
   tokens for one home.  */
static void
test_malformed_keys (void)
{
  static const char *const bad[] = { "",
                                     ".",
                                     "1:2:3",
                                     "1:2:3.",
                                     ".x",
                                     "1:2.x",
                                     "1:2:3:4.x",
                                     "1:2:3,.x",
                                     ",1:2:3.x",
                                     "1:2:3,2:2:3.x",
                                     "1:2:3,1:2:3,2:2:3.x",
                                     "1:2:3,1:9:9,2:2:3.x",
                                     "1:2:3,2:2:3,3:2:3,4:2:3.x",
                                     "01:2:3.x",
                                     "1:2:+3.x",
                                     "1:2: 3.x",
                                     "-1:2:3.x",
                                     "18446744073709551616:2:3.x",
                                     "1:2:3.x y",
                                     "1:2:3.x.y",
                                     "1:2:3.\r\n",
                                     "1:2:3.\xc3\xa9" };
  char big[ZP_KEY_MAX + 1];
  struct oc_home h;
  struct zp_err err;

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    CU_ASSERT_FALSE (oc_key_parse (zp_str_from (bad[i]), &h, &err));
  memset (big, '1', sizeof big);
  CU_ASSERT_FALSE (
      oc_key_parse ((struct zp_str){ big, sizeof big }, &h, &err));
  CU_ASSERT_EQUAL (err.code, ZP_ELIMIT);
  CU_ASSERT_FALSE (oc_key_parse ((struct zp_str){ "1:2:3.\0", 7 }, &h, &err));
  CU_ASSERT (oc_key_parse (ZP_STR ("1:2:3.aZ_-9"), &h, &err));
  CU_ASSERT_EQUAL (oc_home_quorum (&h), 1);
}

static const struct zp_test tests[]
    = { { "members are in different failure domains and regions",
          test_members_are_in_different_places },
        { "few reachable daemons", test_few_reachable_daemons },
        { "the longest token fits into a key", test_longest_token },
        { "malformed keys are refused", test_malformed_keys } };

TEST_MAIN ("once-home", tests)
