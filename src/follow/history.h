/* NAME
     history - the recent changes of the configuration, kept by a source

   DESCRIPTION
     Pure.  Keeps a chain of changes: each starts at the version to which the
     one before it leads.  The oldest are dropped when there are more than
     ZP_FOLLOW_HISTORY_MAX changes or ZP_FOLLOW_HISTORY_BYTES bytes.  */

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
  size_t bytes;     /* of all changes */
  uint64_t version; /* of the newest configuration */
  uint64_t number, term;
};

/* What a follower has to be sent.  */
enum fo_need
{
  FO_UP_TO_DATE, /* nothing */
  FO_CHANGES,    /* the changes from *INDEX on */
  FO_SNAPSHOT,   /* a whole configuration: no change kept starts there */
  FO_AHEAD,      /* nothing: it has a newer version than this source */
};

/* Adds one change.  When it does not start at the newest version, the chain is
   emptied first.  Returns false and adds nothing when it does not lead beyond
   the newest version.  */
bool fo_history_add (struct fo_history *h, const struct fo_delta *d);

/* Empties the chain: a whole configuration of VERSION is the newest one.  */
void fo_history_reset (struct fo_history *h, uint64_t version, uint64_t number,
                       uint64_t term);

/* What a follower at version HAVE needs.  Sets *INDEX for FO_CHANGES only.  */
enum fo_need fo_history_need (const struct fo_history *h, uint64_t have,
                              size_t *index);

void fo_history_free (struct fo_history *h);

#endif
