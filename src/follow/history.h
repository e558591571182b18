/* NAME
     history - the recent changes that a source can send

   DESCRIPTION
     Pure.  Keeps a chain of changes, each from the version of the one before,
     within ZP_FOLLOW_HISTORY_MAX changes and ZP_FOLLOW_HISTORY_BYTES.  */

#ifndef ZP_FOLLOW_HISTORY_H
#define ZP_FOLLOW_HISTORY_H

#include "follow/codec.h"

struct fo_change
{
  uint64_t from, version, number, term;
  struct zp_buf bytes;
};

struct fo_history
{
  struct fo_change *item; /* oldest first */
  size_t len;
  size_t bytes;
  uint64_t version; /* of the newest configuration */
  uint64_t number, term;
};

enum fo_need
{
  FO_UP_TO_DATE,
  FO_CHANGES,  /* from the index that was set */
  FO_SNAPSHOT, /* too far behind for the changes kept */
  FO_AHEAD,    /* the follower knows more than this source */
};

/* Adds one change.  A change that does not follow the newest version empties
   the chain first.  Returns false, without a change, for an older version.  */
bool fo_history_add (struct fo_history *h, const struct fo_delta *d);

/* A whole configuration of this version replaced the state.  */
void fo_history_reset (struct fo_history *h, uint64_t version, uint64_t number,
                       uint64_t term);

enum fo_need fo_history_need (const struct fo_history *h, uint64_t have,
                              size_t *index);

void fo_history_free (struct fo_history *h);

#endif
