/* NAME
     store - replicated state machine of the change tickets

   SYNOPSIS
     struct ti_store *s = ti_store_new (TI_CONFLICT_BY_OBJECT);
     ti_store_apply (s, index, bytes, &result);
     ... result.outcome, result.change ...
     ti_result_free (&result);

   DESCRIPTION
     Every control member applies the same log to its store.  The store holds
     the configuration in force, the pending tickets, a record of the outcome
     of each decided ticket, the undo edits of recent numbers, and the backend
     servers that have left lately.

     A ticket is first submitted and then reviewed by an operator other than
     its author; until here it is pending.  A number command then decides it:
     the ticket is numbered, refused or in conflict.  These three states are
     final: repeating a command for the same digest returns the same result.
     No record is kept of a submit that is refused or in conflict, nor of a
     number command that is refused because the ticket is not reviewed yet or
     the claimed number is above the next one; such a ticket stays pending.

     A record is dropped when it is older than TI_RECORD_TTL and not among the
     last TI_RECORDS_MIN.  A ticket that is still pending after TI_PENDING_TTL
     is dropped.

   RETURN VALUE
     ti_store_restore returns NULL with ERR filled (ZP_ECORRUPT, or the error
     of the JSON parser).  */

#ifndef ZP_TICKET_STORE_H
#define ZP_TICKET_STORE_H

#include "ticket/command.h"
#include "ticket/conflict.h"

#define TI_PENDING_MAX 256
#define TI_PENDING_BYTES (16 * 1024 * 1024) /* of canonical text */
#define TI_PENDING_TTL (7 * 24 * 3600 * ZP_SEC)
#define TI_RECORD_TTL (7 * 24 * 3600 * ZP_SEC)
#define TI_RECORDS_MIN 20000

/* Undo edits kept: about two days of changes at 2,200 a day.  */
#define TI_UNDO_MAX 4096
#define TI_UNDO_BYTES (16 * 1024 * 1024)

/* Mistakes listed in one result; the others are only counted.  */
#define TI_ERRORS_BYTES (32 * 1024)

enum ti_state
{
  TI_STATE_NONE, /* no such ticket in the store */
  TI_STATE_SUBMITTED,
  TI_STATE_REVIEWED,
  TI_STATE_NUMBERED,
  TI_STATE_REFUSED,
  TI_STATE_CONFLICT,
};

enum ti_outcome
{
  TI_DONE,
  TI_REFUSED,     /* reasons in ERRORS */
  TI_IN_CONFLICT, /* details in CONFLICT */
  TI_UNKNOWN,     /* no ticket with this digest */
  TI_FULL,        /* too many pending tickets */
};

struct ti_result
{
  enum ti_outcome outcome;
  enum ti_state state; /* of the ticket after the command */
  struct ti_digest digest;
  uint64_t number; /* of a numbered ticket */
  struct zp_report errors;
  struct ti_conflict conflict;
  struct ti_change *change; /* applied by this command, or NULL */
  struct ti_leave leave;    /* applied by this command; SERVER empty: none */
};

void ti_result_free (struct ti_result *r);

struct ti_store;

struct ti_store *ti_store_new (enum ti_conflict_rule rule);
void ti_store_free (struct ti_store *s);

/* Applies the command BYTES of the log entry INDEX and fills OUT; free it with
   ti_result_free.  Bytes that are not a command are refused and change
   nothing.  */
void ti_store_apply (struct ti_store *s, uint64_t index, struct zp_str bytes,
                     struct ti_result *out);

/* Queries.  */

const struct ti_config *ti_store_config (const struct ti_store *s);

const struct ti_leaves *ti_store_leaves (const struct ti_store *s);

/* Rebuilds the configuration at NUMBER from the undo edits.  Returns NULL when
   NUMBER is above the number in force or its undo edits were dropped.  The
   caller frees the result.  */
struct ti_config *ti_store_config_at (const struct ti_store *s,
                                      uint64_t number);

/* Fills OUT with the state of the ticket DIGEST, or with TI_UNKNOWN.  */
void ti_store_find (const struct ti_store *s, const struct ti_digest *digest,
                    struct ti_result *out);

/* A ticket without a final state.  The pointers are valid until the next
   command is applied.  */
struct ti_pending_ticket
{
  struct ti_digest digest;
  const struct ti_ticket *ticket;
  const struct ti_text *reviewer; /* NULL: not reviewed */
};

/* Fills OUT with the pending ticket at position AT, from 0.  Returns false
   after the last one.  */
bool ti_store_pending (const struct ti_store *s, size_t at,
                       struct ti_pending_ticket *out);

/* Snapshots.  Equal stores give equal bytes.  */
void ti_store_snapshot (const struct ti_store *s, struct zp_buf *out);
struct ti_store *ti_store_restore (struct zp_str bytes,
                                   enum ti_conflict_rule rule,
                                   struct zp_err *err);

/* Returns the name of a state in HTTP answers and snapshots.  */
const char *ti_state_name (enum ti_state state);

#endif
