/* NAME
     mark - bounded table of what is known of fingerprints, used by poison

   DESCRIPTION
     One entry for each fingerprint, found by a chained hash table.  A mark
     that has run out is dropped when its entry is found.  A full table evicts
     the idle entry of least worth: first those that carry no loss, then
     suspects, poison last.  An entry with runs or a trial is never evicted. */

#ifndef ZP_STEER_FINGERPRINT_H
#define ZP_STEER_FINGERPRINT_H

#include "steer/poison.h"

#define ST_NO_INDEX UINT32_MAX

enum st_fp_kind
{
  ST_FP_FREE, /* the entry is not in use */
  ST_FP_NEW,
  ST_FP_PROVEN,
  ST_FP_SUSPECT,
  ST_FP_POISON,
};

struct st_fp_entry
{
  struct st_fp fp;
  enum st_fp_kind kind;
  uint32_t next;   /* in its bucket, or in the list of free entries */
  uint32_t runs;   /* in flight or open */
  zp_time since;   /* when RUNS was 0 last; an answer proves the mark */
  uint32_t trial;  /* of this daemon, or ST_NO_INDEX */
  uint64_t server; /* of the last run */
  zp_time until;   /* not read for ST_FP_NEW */
  uint32_t losses;
  struct st_loss loss[ST_POISON_LOSSES]; /* AGE holds the time of the loss */
  uint64_t vote;                         /* member that has it, or 0 */
  uint64_t vote_seq;
};

struct st_fp_table
{
  struct st_fp_entry *entries;
  uint32_t *buckets;
  uint32_t max;
  uint32_t free;
  uint32_t evict_at; /* where the search for an entry to evict goes on */
  size_t len;
};

void st_fp_table_init (struct st_fp_table *m, uint32_t max);
void st_fp_table_free (struct st_fp_table *m);

/* The entry of FP, or NULL.  */
struct st_fp_entry *st_fp_table_find (struct st_fp_table *m, struct st_fp fp,
                                      zp_time now);

/* The entry of FP, new if there was none.  */
struct st_fp_entry *st_fp_table_add (struct st_fp_table *m, struct st_fp fp,
                                     zp_time now);

/* The entry must have neither runs nor a trial.  */
void st_fp_table_remove (struct st_fp_table *m, struct st_fp_entry *e);

/* Makes E suspect until UNTIL at least; poison stays poison.  */
void st_fp_suspect (struct st_fp_entry *e, zp_time until);

/* Adds a loss, and blames E when there are enough.  Returns false when the
   loss was known before.  */
bool st_fp_add_loss (struct st_fp_entry *e, uint64_t server, uint64_t trial,
                     zp_time at);

/* E was answered.  */
void st_fp_prove (struct st_fp_entry *e, zp_time now);

#endif
