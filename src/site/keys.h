/* NAME
     keys - table of the keys of workspaces

   DESCRIPTION
     Maps a key to the index of its workspace.  The table holds no key, only
     digests: BLAKE2b with a random secret of the table.  A search reads the
     same number of entries for every key and compares in constant time, so that
     its duration reveals nothing about the keys in the table.

     All fields zero make an empty table.  Keys are added first; si_keys_seal
     then prepares the table for si_keys_find.  */

#ifndef ZP_SITE_KEYS_H
#define ZP_SITE_KEYS_H

#include "base/str.h"

#define SI_DIGEST_SIZE 32

struct si_key
{
  unsigned char digest[SI_DIGEST_SIZE];
  size_t workspace;
};

struct si_keys
{
  unsigned char secret[SI_DIGEST_SIZE];
  struct si_key *item; /* sorted by digest, once sealed */
  size_t len;
};

void si_keys_add (struct si_keys *k, struct zp_str key, size_t workspace);

/* Returns false, with FIRST and SECOND set to two workspaces, when these have
   the same key.  */
bool si_keys_seal (struct si_keys *k, size_t *first, size_t *second);

/* Sets WORKSPACE to the one that has KEY; false: there is none.  */
bool si_keys_find (const struct si_keys *k, struct zp_str key,
                   size_t *workspace);

void si_keys_free (struct si_keys *k);

#endif
