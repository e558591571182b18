#include "harness.h"

#include <stdio.h>

#include "site/keys.h"

static struct zp_str
key_of (char *out, size_t size, unsigned n)
{
  snprintf (out, size, "key-%u", n);
  return zp_str_from (out);
}

/* Guards against a key that is not found, or found at another workspace, in
   tables of all small sizes: the search has no case of its own for any.  */
static void
test_every_key_is_found (void)
{
  char text[32];

  for (unsigned n = 0; n <= 70; n++)
    {
      struct si_keys k = { .len = 0 };
      size_t a, b, at;
      for (unsigned i = 0; i < n; i++)
        si_keys_add (&k, key_of (text, sizeof text, i), i / 3);
      CU_ASSERT_FATAL (si_keys_seal (&k, &a, &b));
      for (unsigned i = 0; i < n; i++)
        {
          at = SIZE_MAX;
          CU_ASSERT (si_keys_find (&k, key_of (text, sizeof text, i), &at));
          CU_ASSERT_EQUAL (at, i / 3);
        }
      for (unsigned i = n; i < n + 50; i++)
        CU_ASSERT (!si_keys_find (&k, key_of (text, sizeof text, i), &at));
      CU_ASSERT (!si_keys_find (&k, ZP_STR (""), &at));
      si_keys_free (&k);
    }
}

/* Guards against a key that is compared in part only, or without regard to its
   case or to zero bytes.  */
static void
test_similar_keys (void)
{
  static const struct zp_str other[]
      = { { .ptr = "secre", .len = 5 },    { .ptr = "secrets", .len = 7 },
          { .ptr = "Secret", .len = 6 },   { .ptr = " secret", .len = 7 },
          { .ptr = "secret\0", .len = 7 }, { .ptr = "secret\n", .len = 7 },
          { .ptr = "ecret", .len = 5 } };
  struct si_keys k = { .len = 0 };
  size_t a, b, at;

  si_keys_add (&k, ZP_STR ("secret"), 4);
  CU_ASSERT (si_keys_seal (&k, &a, &b));
  for (size_t i = 0; i < sizeof other / sizeof other[0]; i++)
    CU_ASSERT (!si_keys_find (&k, other[i], &at));
  CU_ASSERT (si_keys_find (&k, ZP_STR ("secret"), &at));
  CU_ASSERT_EQUAL (at, 4);
  si_keys_free (&k);
}

/* Guards against a key that opens two workspaces, and against a workspace that
   is refused because it lists a key twice.  */
static void
test_shared_keys (void)
{
  char text[32];

  for (unsigned twin = 0; twin < 20; twin++)
    {
      struct si_keys k = { .len = 0 };
      size_t a = 0, b = 0;
      for (unsigned i = 0; i < 20; i++)
        si_keys_add (&k, key_of (text, sizeof text, i), i);
      si_keys_add (&k, key_of (text, sizeof text, twin), 20);
      CU_ASSERT (!si_keys_seal (&k, &a, &b));
      CU_ASSERT_EQUAL (a + b, twin + 20);
      CU_ASSERT (a == twin || b == twin);
      si_keys_free (&k);
    }
  struct si_keys k = { .len = 0 };
  size_t a, b, at;
  si_keys_add (&k, ZP_STR ("x"), 1);
  si_keys_add (&k, ZP_STR ("x"), 1);
  CU_ASSERT (si_keys_seal (&k, &a, &b));
  CU_ASSERT (si_keys_find (&k, ZP_STR ("x"), &at));
  CU_ASSERT_EQUAL (at, 1);
  si_keys_free (&k);
}

/* Guards against a table that has the keys in clear, and against digests that
   are the same in every process: they could be computed in advance.  */
static void
test_digests_only (void)
{
  struct si_keys k[2] = { { .len = 0 }, { .len = 0 } };
  size_t a, b;

  for (int i = 0; i < 2; i++)
    {
      si_keys_add (&k[i], ZP_STR ("a-key-of-32-bytes-a-key-of-32-byt"), 0);
      CU_ASSERT (si_keys_seal (&k[i], &a, &b));
      CU_ASSERT_PTR_NULL (memmem (k[i].item, sizeof *k[i].item, "a-key", 5));
    }
  CU_ASSERT (memcmp (k[0].item, k[1].item, SI_DIGEST_SIZE) != 0);
  si_keys_free (&k[0]);
  si_keys_free (&k[1]);
  CU_ASSERT_EQUAL (k[0].len, 0);
}

static const struct zp_test tests[]
    = { { "every key is found", test_every_key_is_found },
        { "similar keys", test_similar_keys },
        { "shared keys", test_shared_keys },
        { "digests only", test_digests_only } };

TEST_MAIN ("keys", tests)
