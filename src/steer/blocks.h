/* NAME
     blocks - longest-prefix-match table from client blocks to sites

   SYNOPSIS
     struct st_blocks *b = st_blocks_build (prefixes, n, &err);
     if (st_blocks_find (b, ipv4, &prefix))
       ...
     st_blocks_free (b);

   DESCRIPTION
     A client block is an IPv4 prefix (CIDR block) that belongs to a site.
     Prefixes can be nested; the longest one that contains an address matches.

     st_blocks_build flattens the prefixes into disjoint ranges and splits the
     ranges at the boundaries of /16 networks.  A look-up uses the upper 16
     bits of the address as an index to the ranges of its /16 network, then
     searches them by the lower 16 bits (binary search).  A range takes 6
     bytes.

     A table is immutable, so that one task can build it and pass a pointer to
     another.

   RETURN VALUE
     st_blocks_build returns NULL with the reason in ERR on error.

   ERRORS
     ZP_EINVAL  a prefix has host bits set, is longer than 32 bits, or occurs
                twice
     ZP_ELIMIT  more than ST_BLOCKS_MAX prefixes  */

#ifndef ZP_STEER_BLOCKS_H
#define ZP_STEER_BLOCKS_H

#include "base/err.h"

#define ST_BLOCKS_MAX 16000000

struct st_prefix
{
  uint32_t address; /* host byte order */
  uint16_t site;    /* number of the site in the topology */
  uint8_t bits;     /* length */
};

struct st_blocks;

/* PREFIXES may be in any order and are copied.  */
struct st_blocks *st_blocks_build (const struct st_prefix *prefixes, size_t n,
                                   struct zp_err *err);
void st_blocks_free (struct st_blocks *b);

/* Finds the longest prefix that contains ADDRESS (host byte order).  Returns
   false when there is none.  */
bool st_blocks_find (const struct st_blocks *b, uint32_t address,
                     struct st_prefix *out);

/* Number of prefixes.  */
size_t st_blocks_len (const struct st_blocks *b);

/* Size of the table in bytes.  */
size_t st_blocks_memory (const struct st_blocks *b);

#endif
