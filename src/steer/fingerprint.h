/* NAME
     fingerprint - bounded table of request fingerprints, used by poison

   DESCRIPTION
     One entry for each fingerprint, found by a chained hash table.  An expired
     entry is dropped when it is looked up; one with runs becomes new again.  A
     full table evicts an idle entry: first one that is neither suspect nor
     poison, then a suspect, one without a vote first, and poison last.  Of
     several suspects or poison entries the one that expires first is evicted.
     An entry with runs or a trial is never evicted.  */

#ifndef ZP_STEER_FINGERPRINT_H
#define ZP_STEER_FINGERPRINT_H

#include "steer/poison.h"

/* Stands for no entry, run or trial in fields that hold an index.  */
#define ST_NO_INDEX UINT32_MAX

/* See steer/poison.h for what the kinds mean.  */
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
  uint32_t next;   /* in its hash bucket, or in the list of free entries */
  uint32_t runs;   /* in flight, or ended without an answer but still kept */
  zp_time since;   /* when RUNS last rose from 0 */
  uint32_t trial;  /* index of this daemon's trial, or ST_NO_INDEX */
  uint64_t server; /* of the last run */
  zp_time until;   /* when KIND expires; not used for ST_FP_NEW */
  uint32_t losses;
  struct st_loss loss[ST_POISON_LOSSES]; /* AGE holds the time of the loss */
  uint64_t vote;     /* member that has this daemon's vote; 0: none */
  uint64_t vote_seq; /* the trial of that member */
};

struct st_fp_table
{
  struct st_fp_entry *entries;
  uint32_t *buckets;
  uint32_t max;      /* entries and buckets */
  uint32_t free;     /* first free entry, or ST_NO_INDEX */
  uint32_t evict_at; /* index at which the next eviction starts searching */
  size_t len;        /* entries in use */
};

/* The entries must outnumber the runs and trials at any one time.  */
void st_fp_table_init (struct st_fp_table *t, uint32_t max);
void st_fp_table_free (struct st_fp_table *t);

/* Returns the entry of FP, or NULL.  */
struct st_fp_entry *st_fp_table_find (struct st_fp_table *t, struct st_fp fp,
                                      zp_time now);

/* Returns the entry of FP; adds one of kind ST_FP_NEW if there is none.  */
struct st_fp_entry *st_fp_table_add (struct st_fp_table *t, struct st_fp fp,
                                     zp_time now);

/* Removes E, which must have neither runs nor a trial.  */
void st_fp_table_remove (struct st_fp_table *t, struct st_fp_entry *e);

/* Makes E suspect until at least UNTIL; poison stays poison.  */
void st_fp_suspect (struct st_fp_entry *e, zp_time until);

/* Adds the loss of SERVER at time AT, which makes E suspect, or poison once it
   has ST_POISON_LOSSES.  TRIAL is 0 outside a trial.  Returns false when the
   loss was recorded before or E has all its losses.  */
bool st_fp_add_loss (struct st_fp_entry *e, uint64_t server, uint64_t trial,
                     zp_time at);

/* Makes E proven, because a request with its fingerprint was answered, and
   clears its losses.  */
void st_fp_prove (struct st_fp_entry *e, zp_time now);

#endif
