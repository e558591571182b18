/* NAME
     store_state - the inside of the ticket store, for its own files only  */

#ifndef ZP_TICKET_STORE_STATE_H
#define ZP_TICKET_STORE_STATE_H

#include "ticket/store.h"

struct ti_pending
{
  struct ti_digest digest;
  struct ti_ticket *ticket;
  size_t bytes; /* of the canonical text */
  zp_time submitted;
  bool reviewed;
  struct ti_text reviewer;
};

/* The final outcome of a ticket.  */
struct ti_record
{
  struct ti_digest digest;
  enum ti_state state;
  uint64_t number; /* 0 unless numbered */
  zp_time at;
  struct zp_report errors;
  struct ti_conflict conflict;
};

struct ti_undo
{
  uint64_t number; /* that the edit takes back */
  struct ti_edit edit;
  size_t bytes;
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
  uint64_t *record_hash;    /* of the digests, for the search */
  size_t record_len, record_cap;

  struct ti_undo *undo; /* in order of number */
  size_t undo_len, undo_cap;
  size_t undo_bytes;
};

/* Each takes over what its argument holds.  */
void ti_store_add_pending (struct ti_store *s, const struct ti_pending *p);
void ti_store_add_record (struct ti_store *s, const struct ti_record *r);
void ti_store_add_undo (struct ti_store *s, const struct ti_undo *p);

void ti_store_drop_pending (struct ti_store *s, size_t at);

/* Drops what its period or limit no longer covers.  */
void ti_store_expire (struct ti_store *s);

/* The digest of the ticket that won NUMBER; zero bytes when not known.  */
void ti_store_digest_of (const struct ti_store *s, uint64_t number,
                         struct ti_digest *out);

void ti_store_copy_errors (const struct zp_report *from, struct zp_report *to);

#endif
