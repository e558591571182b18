#include "site/keys.h"

#include <sodium.h>
#include <stdlib.h>

_Static_assert(SI_DIGEST_SIZE == crypto_generichash_BYTES,
               "the size of digests");
_Static_assert(SI_DIGEST_SIZE == crypto_generichash_KEYBYTES,
               "the size of their secret");

static void
digest_of (const struct si_keys *k, struct zp_str key, unsigned char *out)
{
  crypto_generichash (out, SI_DIGEST_SIZE, (const unsigned char *) key.ptr,
                      key.len, k->secret, sizeof k->secret);
}

void
si_keys_add (struct si_keys *k, struct zp_str key, size_t workspace)
{
  if (k->len == 0)
    {
      if (sodium_init () < 0)
        abort ();
      randombytes_buf (k->secret, sizeof k->secret);
    }
  /* Grows at powers of 2, so that a long table is not copied for each key.  */
  if ((k->len & (k->len - 1)) == 0)
    k->item = zp_realloc (k->item,
                          (k->len > 0 ? 2 * k->len : 1) * sizeof *k->item);
  struct si_key *x = &k->item[k->len++];
  x->workspace = workspace;
  digest_of (k, key, x->digest);
}

static int
cmp_key (const void *a, const void *b)
{
  const struct si_key *x = a, *y = b;

  return sodium_compare (x->digest, y->digest, SI_DIGEST_SIZE);
}

bool
si_keys_seal (struct si_keys *k, size_t *first, size_t *second)
{
  if (k->len > 0)
    qsort (k->item, k->len, sizeof *k->item, cmp_key);
  for (size_t i = 1; i < k->len; i++)
    if (cmp_key (&k->item[i - 1], &k->item[i]) == 0
        && k->item[i - 1].workspace != k->item[i].workspace)
      {
        *first = k->item[i - 1].workspace;
        *second = k->item[i].workspace;
        return false;
      }
  return true;
}

bool
si_keys_find (const struct si_keys *k, struct zp_str key, size_t *workspace)
{
  unsigned char digest[SI_DIGEST_SIZE];
  size_t at = 0;

  if (k->len == 0 || key.len == 0)
    return false;
  digest_of (k, key, digest);
  /* The last entry that is not above the digest.  The number of steps depends
     on the length of the table only.  */
  for (size_t n = k->len; n > 1;)
    {
      size_t half = n / 2;
      if (sodium_compare (k->item[at + half].digest, digest, SI_DIGEST_SIZE)
          <= 0)
        at += half;
      n -= half;
    }
  bool found = sodium_memcmp (k->item[at].digest, digest, SI_DIGEST_SIZE) == 0;
  if (found)
    *workspace = k->item[at].workspace;
  return found;
}

void
si_keys_free (struct si_keys *k)
{
  free (k->item);
  sodium_memzero (k, sizeof *k);
}
