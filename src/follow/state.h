/* NAME
     state - which configuration a follower accepts

   DESCRIPTION
     Pure.  The version of a follower only grows.  It accepts a change that
     starts at its own version, and a whole configuration of a higher version.
     It refuses both when their term or ticket number is below its own.  The
     parts of a whole configuration are assembled here.  */

#ifndef ZP_FOLLOW_STATE_H
#define ZP_FOLLOW_STATE_H

#include "follow/codec.h"

struct fo_state
{
  uint64_t version, number, term;

  /* A whole configuration that is being received.  */
  struct zp_buf parts;
  uint64_t parts_version;
};

enum fo_result
{
  FO_ACCEPTED,  /* the state has advanced; a whole one is in PARTS */
  FO_PART_KEPT, /* accepted, and more parts are to come */
  FO_OLD,       /* not newer than the version held */
  FO_GAP,       /* changes before it are missing: connect again */
  FO_STALE,     /* of a lower term or ticket number than the one held */
  FO_BAD_PART,  /* does not continue the parts received so far */
};

enum fo_result fo_state_delta (struct fo_state *s, const struct fo_delta *d);
enum fo_result fo_state_part (struct fo_state *s, const struct fo_part *p);

/* Drops the parts received so far: their connection has ended, or the
   configuration has been taken out of them.  */
void fo_state_drop_parts (struct fo_state *s);

#endif
