/* NAME
     mark - bounded table of what is known of fingerprints, used by poison

   DESCRIPTION
     One entry for each fingerprint, found by a chained hash table.  A mark
     that has run out is dropped when its entry is found.  A full table evicts
     the idle entry of least worth: first those that carry no loss, then
     suspects, poison last.  An entry with runs or a trial is never evicted. */

#ifndef ZP_STEER_MARK_H
#define ZP_STEER_MARK_H

#include "steer/poison.h"

#define ST_NONE UINT32_MAX

enum st_mark_kind
{
  ST_MARK_FREE, /* the entry is not in use */
  ST_MARK_NEW,
  ST_MARK_PROVEN,
  ST_MARK_SUSPECT,
  ST_MARK_POISON,
};

struct st_mark
{
  struct st_fp fp;
  enum st_mark_kind kind;
  uint32_t next;   /* in its bucket, or in the list of free entries */
  uint32_t runs;   /* in flight or open */
  zp_time since;   /* when RUNS was 0 last; an answer proves the mark */
  uint32_t trial;  /* of this daemon, or ST_NONE */
  uint64_t server; /* of the last run */
  zp_time until;   /* not read for ST_MARK_NEW */
  uint32_t losses;
  struct st_loss loss[ST_POISON_LOSSES]; /* AGE holds the time of the loss */
  uint64_t vote;                         /* member that has it, or 0 */
  uint64_t vote_seq;
};

struct st_marks
{
  struct st_mark *entries;
  uint32_t *buckets;
  uint32_t max;
  uint32_t free;
  uint32_t hand; /* where the search for an entry to evict goes on */
  size_t len;
};

void st_marks_init (struct st_marks *m, uint32_t max);
void st_marks_free (struct st_marks *m);

/* The entry of FP, or NULL.  */
struct st_mark *st_marks_find (struct st_marks *m, struct st_fp fp,
                               zp_time now);

/* The entry of FP, new if there was none.  */
struct st_mark *st_marks_add (struct st_marks *m, struct st_fp fp,
                              zp_time now);

/* The entry must have neither runs nor a trial.  */
void st_marks_remove (struct st_marks *m, struct st_mark *e);

/* Makes E suspect until UNTIL at least; poison stays poison.  */
void st_mark_suspect (struct st_mark *e, zp_time until);

/* Adds a loss, and blames E when there are enough.  Returns false when the
   loss was known before.  */
bool st_mark_loss (struct st_mark *e, uint64_t server, uint64_t trial,
                   zp_time at);

/* E was answered.  */
void st_mark_prove (struct st_mark *e, zp_time now);

#endif
