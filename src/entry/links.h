/* NAME
     links - this daemon's shares of the links of its region

   DESCRIPTION
     A request to a backend server of another region takes bytes of both
     directions of the link: its own size from the outgoing direction, and the
     expected size of its answer from the incoming one.  Pairs of regions that
     have no link in the configuration, and links with no entry daemon in the
     configuration at either end, are not limited.  */

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

/* Corrects what en_links_take has taken for USE to the bytes that were really
   sent.  */
void en_links_correct (struct en_router *r, const struct en_link_use *use,
                       int64_t request_bytes, int64_t answer_bytes);

/* Whether requests to REGION must wait now because a share is used up.  When
   the share of any link is used up, all other regions are blocked for a short
   time (BLOCKED_FOR).  */
bool en_links_blocked (const struct en_router *r, struct zp_str region,
                       zp_time now);

#endif
