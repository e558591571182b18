/* NAME
     store - the replicated ticket state

   SYNOPSIS
     struct ti_store *s = ti_store_new (TI_CONFLICT_BY_OBJECT);
     ti_store_apply (s, index, bytes, &result);
     ... result.outcome, result.change ...
     ti_result_free (&result);

   DESCRIPTION
     A state machine that every control member runs over the same log.  It
     holds the configuration in force, the tickets that wait for review or a
     number, the outcome of every ticket that was decided, and the undo edits
     of recent numbers.

     Life of a ticket: submitted, reviewed by another operator than its author,
     then numbered, refused or in conflict.  The last three are final: a resend
     of the digest gets the same answer.  A submit that is refused or in
     conflict is not kept, and neither is a number command that comes too early
     (no review yet, a claimed number that is not the next one yet).

     The outcome of a digest is dropped once it is both older than
     TI_RECORD_TTL and not among the last TI_RECORDS_MIN.  Tickets that are
     not decided within TI_PENDING_TTL are dropped.

   RETURN VALUE
     ti_store_restore returns NULL with ERR filled.  */

#ifndef ZP_TICKET_STORE_H
#define ZP_TICKET_STORE_H

#include "ticket/command.h"
#include "ticket/conflict.h"

#define TI_PENDING_MAX 256
#define TI_PENDING_BYTES (16 * 1024 * 1024)
#define TI_PENDING_TTL (7 * 24 * 3600 * ZP_SEC)
#define TI_RECORD_TTL (7 * 24 * 3600 * ZP_SEC)
#define TI_RECORDS_MIN 20000

/* Undo edits: about two days of changes at 2,200 a day.  */
#define TI_UNDO_MAX 4096
#define TI_UNDO_BYTES (16 * 1024 * 1024)

/* Mistakes of one answer; the rest is counted.  */
#define TI_ERRORS_BYTES (32 * 1024)

enum ti_state
{
  TI_STATE_NONE, /* not known here */
  TI_STATE_SUBMITTED,
  TI_STATE_REVIEWED,
  TI_STATE_NUMBERED,
  TI_STATE_REFUSED,
  TI_STATE_CONFLICT,
};

enum ti_outcome
{
  TI_DONE,
  TI_REFUSED,     /* ERRORS says why */
  TI_IN_CONFLICT, /* CONFLICT says by what */
  TI_UNKNOWN,     /* no ticket of this digest */
  TI_FULL,        /* too many tickets wait */
};

struct ti_result
{
  enum ti_outcome outcome;
  enum ti_state state; /* of the ticket after the command */
  struct ti_digest digest;
  uint64_t number; /* once numbered */
  struct zp_report errors;
  struct ti_conflict conflict;
  struct ti_change *change; /* put into force by this command, or NULL */
};

void ti_result_free (struct ti_result *r);

struct ti_store;

struct ti_store *ti_store_new (enum ti_conflict_rule rule);
void ti_store_free (struct ti_store *s);

/* Applies the log entry INDEX and fills OUT.  Bytes that are no command are
   refused and change nothing.  */
void ti_store_apply (struct ti_store *s, uint64_t index, struct zp_str bytes,
                     struct ti_result *out);

/* Views.  */

const struct ti_config *ti_store_config (const struct ti_store *s);

/* The configuration at NUMBER, rebuilt; NULL when it is not in force yet or
   no longer remembered.  */
struct ti_config *ti_store_config_at (const struct ti_store *s,
                                      uint64_t number);

/* What a resend of DIGEST would be told.  */
void ti_store_find (const struct ti_store *s, const struct ti_digest *digest,
                    struct ti_result *out);

/* A ticket that waits; AT from 0.  Returns false behind the last.  */
struct ti_pending_ticket
{
  struct ti_digest digest;
  const struct ti_ticket *ticket;
  const struct ti_text *reviewer; /* NULL: not reviewed */
};

bool ti_store_pending (const struct ti_store *s, size_t at,
                       struct ti_pending_ticket *out);

/* Snapshots.  Equal states give equal bytes.  */
void ti_store_snapshot (const struct ti_store *s, struct zp_buf *out);
struct ti_store *ti_store_restore (struct zp_str bytes,
                                   enum ti_conflict_rule rule,
                                   struct zp_err *err);

/* The name of a state in answers and snapshots.  */
const char *ti_state_name (enum ti_state state);

#endif
