/* NAME
     blocks - the table from client blocks to sites

   SYNOPSIS
     struct st_blocks *b = st_blocks_build (prefixes, n, &err);
     if (st_blocks_find (b, ipv4, &prefix))
       ...
     st_blocks_free (b);

   DESCRIPTION
     A block is an IPv4 prefix that belongs to a site.  Prefixes may be
     nested; the longest one that holds an address wins.

     The build flattens the prefixes into disjoint ranges, cut at the
     boundaries of /16 networks.  An index by the upper 16 bits of an address
     gives the ranges of its /16, and a binary search over the lower 16 bits
     of their starts finds the range.  A range takes 6 bytes.

     A table never changes after its build, so that it can be built by one
     task and handed to another by pointer.

   RETURN VALUE
     st_blocks_build returns NULL, with the reason in ERR, for a prefix with
     bits behind its length, for a length above 32, and for a prefix that
     occurs twice.  */

#ifndef ZP_STEER_BLOCKS_H
#define ZP_STEER_BLOCKS_H

#include "base/err.h"

#define ST_BLOCKS_MAX 16000000

struct st_prefix
{
  uint32_t address; /* host byte order */
  uint16_t site;
  uint8_t bits;
};

struct st_blocks;

struct st_blocks *st_blocks_build (const struct st_prefix *prefixes, size_t n,
                                   struct zp_err *err);
void st_blocks_free (struct st_blocks *b);

/* The block that ADDRESS is in.  Returns false when there is none.  */
bool st_blocks_find (const struct st_blocks *b, uint32_t address,
                     struct st_prefix *out);

size_t st_blocks_len (const struct st_blocks *b);
size_t st_blocks_memory (const struct st_blocks *b);

#endif
