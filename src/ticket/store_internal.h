/* NAME
     store_internal - private data structures of the ticket store

   DESCRIPTION
     Only the files store*.c include this header.  */

#ifndef ZP_TICKET_STORE_INTERNAL_H
#define ZP_TICKET_STORE_INTERNAL_H

#include "ticket/store.h"

struct ti_pending
{
  struct ti_digest digest;
  struct ti_ticket *ticket;
  size_t bytes;      /* of the canonical text */
  zp_time submitted; /* time of submission */
  bool reviewed;
  struct ti_text reviewer;
};

/* The final state of a ticket.  */
struct ti_record
{
  struct ti_digest digest;
  enum ti_state state;
  uint64_t number; /* 0 unless numbered */
  zp_time at;      /* time of the decision */
  struct zp_report errors;
  struct ti_conflict conflict;
};

/* The edit that takes the configuration back from NUMBER to NUMBER - 1.  */
struct ti_undo
{
  uint64_t number;
  struct ti_edit edit;
  size_t bytes; /* of the JSON text */
};

struct ti_store
{
  enum ti_conflict_rule rule;
  zp_time now; /* the highest time of a command so far */
  struct ti_config *config;

  struct ti_pending pending[TI_PENDING_MAX]; /* in order of submission */
  size_t pending_len;
  size_t pending_bytes;

  struct ti_record *record; /* in order of decision */
  uint64_t *record_hash;    /* hashes of their digests, for look-ups */
  size_t record_len, record_cap;

  struct ti_undo *undo; /* in order of number */
  size_t undo_len, undo_cap;
  size_t undo_bytes;

  struct ti_leaves leaves;
};

/* Each takes ownership of the memory that its argument points to.  */
void ti_store_add_pending (struct ti_store *s, const struct ti_pending *p);
void ti_store_add_record (struct ti_store *s, const struct ti_record *r);
void ti_store_add_undo (struct ti_store *s, const struct ti_undo *u);

void ti_store_drop_pending (struct ti_store *s, size_t at);

/* Drops pending tickets, records and undo edits that are past their time to
   live or over their limit.  */
void ti_store_expire (struct ti_store *s);

/* Fills OUT with the digest of the ticket NUMBER; zero bytes when not
   known.  */
void ti_store_digest_of (const struct ti_store *s, uint64_t number,
                         struct ti_digest *out);

void ti_store_copy_errors (const struct zp_report *from, struct zp_report *to);

#endif
