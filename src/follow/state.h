/* NAME
     state - which configuration a follower accepts

   DESCRIPTION
     Pure.  A follower goes forward only: it takes a change that starts at its
     own version, or a whole configuration of a higher version, and refuses a
     term below the highest that it has seen.  The parts of a whole
     configuration are put together here.  */

#ifndef ZP_FOLLOW_STATE_H
#define ZP_FOLLOW_STATE_H

#include "follow/codec.h"

struct fo_state
{
  uint64_t version, number, term;

  /* A whole configuration on its way.  */
  struct zp_buf parts;
  uint64_t parts_version;
};

enum fo_result
{
  FO_ACCEPTED,  /* in force next; a whole configuration is in PARTS */
  FO_PART_KEPT, /* a part was kept */
  FO_OLD,       /* known already, or older */
  FO_GAP,       /* changes are missing: follow anew */
  FO_STALE,     /* of an earlier term than known */
  FO_BAD_PART,  /* parts that do not fit together */
};

enum fo_result fo_state_delta (struct fo_state *s, const struct fo_delta *d);
enum fo_result fo_state_part (struct fo_state *s, const struct fo_part *p);

/* Drops the parts of a connection that ended.  */
void fo_state_drop_parts (struct fo_state *s);

#endif
