/* NAME
     links - this daemon's shares of the links of its region

   DESCRIPTION
     A request to a backend server of another region takes bytes of both
     directions of the link: the size of the request there, the expected size
     of the answer back.  Pairs of regions that have no link in the
     configuration, and links with no entry daemon in the configuration at
     either end, are not limited.  */

#ifndef ZP_ENTRY_LINKS_H
#define ZP_ENTRY_LINKS_H

#include "peer/link_codec.h"

struct en_router;
struct tk_peer_frame;

struct en_link
{
  struct pe_direction direction;
  struct st_link link;
  bool configured;    /* in the configuration in force */
  size_t next_sharer; /* modulo sharers: gets the next request for a share */
};

/* The bytes that one request has taken.  */
struct en_link_use
{
  char region[ZP_NAME_MAX]; /* of the server; empty: nothing was taken */
  int64_t request_bytes, answer_bytes;
};

/* en_links_update applies the configuration in force.  */
void en_links_update (struct en_router *r);
void en_links_frame (struct en_router *r, const struct tk_peer_frame *f);
void en_links_tick (struct en_router *r);
void en_links_free (struct en_router *r);

/* Takes REQUEST_BYTES of the link to REGION and ANSWER_BYTES of the link from
   it.  Returns false, having taken nothing, when this daemon's share of either
   direction is used up.  */
bool en_links_take (struct en_router *r, struct zp_str region,
                    int64_t request_bytes, int64_t answer_bytes,
                    struct en_link_use *out);

/* Replaces the bytes taken by USE by the bytes that were really sent.  */
void en_links_correct (struct en_router *r, const struct en_link_use *use,
                       int64_t request_bytes, int64_t answer_bytes);

/* Whether requests to REGION must wait now because a share is used up.  A used
   up share of any link blocks all other regions for a short time.  */
bool en_links_blocked (const struct en_router *r, struct zp_str region,
                       zp_time now);

#endif
