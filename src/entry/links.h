/* NAME
     links - this daemon's parts of the links of its region

   DESCRIPTION
     A request to a backend server of another region takes bytes of both
     directions: its own bytes one way, those of the expected answer the other way.
     A link without an entry daemon in the configuration, and a pair of regions
     without a link, are not limited.  */

#ifndef ZP_ENTRY_LINKS_H
#define ZP_ENTRY_LINKS_H

#include "peer/link_codec.h"

struct en_router;
struct tk_peer_frame;

struct en_link
{
  struct pe_direction direction;
  struct st_link link;
  bool configured; /* in the configuration in force */
  size_t turn;     /* which sharer is asked next */
};

/* What one request has taken.  */
struct en_link_use
{
  char region[ZP_NAME_MAX]; /* of the server; empty: no link is used */
  int64_t request_bytes, answer_bytes; /* bytes taken */
};

void en_links_update (struct en_router *r);
void en_links_frame (struct en_router *r, const struct tk_peer_frame *f);
void en_links_tick (struct en_router *r);
void en_links_free (struct en_router *r);

/* Takes THERE and BACK bytes towards REGION.  Returns false, and has taken
   nothing, when a direction has no share left.  */
bool en_links_take (struct en_router *r, struct zp_str region,
                    int64_t request_bytes, int64_t answer_bytes,
                    struct en_link_use *out);

/* Charges what was really sent.  */
void en_links_correct (struct en_router *r, const struct en_link_use *use,
                       int64_t request_bytes, int64_t answer_bytes);

/* Whether requests to REGION have to wait for a share now.  */
bool en_links_blocked (const struct en_router *r, struct zp_str region,
                       zp_time now);

#endif
