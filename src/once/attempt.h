/* NAME
     attempt - one attempt at an at-most-once request, at an entry daemon

   SYNOPSIS
     a = oc_attempt_new (id, key, &home, now, deadline);
     after every call:
       while ((x = oc_attempt_next_action (a))) carry out x;
     at oc_attempt_next_tick (a):
       oc_attempt_tick (a, now);

   DESCRIPTION
     Each arrival of a request with an idempotency key, first or resent, is one
     attempt.  At most one attempt of a key forwards to a backend server.

     The attempt claims its key at all members of the home.  When a quorum has
     granted the claim, the attempt emits OC_FORWARD.  The code that drives the
     attempt then calls oc_attempt_begin_forward immediately before each time
     that it hands the request to a backend server, and oc_attempt_end_forward
     with the outcome.  After the verdict ZP_NOT_RUN it may forward again, or
     call oc_attempt_refuse.

     Every refusal seals the key first.  The caller of the request is answered
     not-run when a quorum of members has sealed the key.  Until then the
     attempt resends its messages.  It answers with the outcome when another
     attempt has recorded one, and with may-have-run at the deadline.  An
     attempt that is not forwarding at OC_SEAL_MARGIN before its deadline
     starts to seal, so that there is time to complete the seal.

     Exactly one OC_ANSWERED or OC_REFUSED is emitted.  Messages to members can
     follow it: for up to OC_LINGER after the deadline, the attempt continues
     to record an outcome or to complete a seal.  Free the attempt when
     oc_attempt_finished is true.  Freeing it earlier is safe, but later
     attempts of the key may then be answered may-have-run.

   RETURN VALUE
     oc_attempt_begin_forward returns false when the request must not be handed
     to a backend server: no quorum has granted the claim, the deadline is too
     near, the attempt is sealing, or the request is already at a server.  */

#ifndef ZP_ONCE_ATTEMPT_H
#define ZP_ONCE_ATTEMPT_H

#include "once/action.h"
#include "once/home.h"

/* Time until an unanswered message is sent again; it doubles with every resend
   up to the maximum.  The minimum is above the round-trip time of 110 ms
   between regions.  */
#define OC_BACKOFF_MIN (150 * ZP_MS)
#define OC_BACKOFF_MAX (1200 * ZP_MS)
/* First interval between two queries for the outcome of the attempt that holds
   the key; it doubles with every query, up to OC_BACKOFF_MAX.  */
#define OC_POLL_INTERVAL (25 * ZP_MS)
/* Time before the deadline that is reserved for sealing: two round trips
   between regions and 80 ms for queues.  It is at most a quarter of the time
   between the start of the attempt and the deadline.  */
#define OC_SEAL_MARGIN (300 * ZP_MS)
/* Time after the deadline, or after a later outcome, in which messages to
   members are still resent.  */
#define OC_LINGER (2000 * ZP_MS)

struct oc_attempt;

/* HOME is the home that oc_key_parse read from KEY.  ID must be unique, see
   struct oc_attempt_id.  */
struct oc_attempt *oc_attempt_new (struct oc_attempt_id id, struct zp_str key,
                                   const struct oc_home *home, zp_time now,
                                   zp_time deadline);
void oc_attempt_free (struct oc_attempt *a);

/* Handles the OC_ANSWER MSG of the member FROM.  Does not take over MSG.  */
void oc_attempt_receive (struct oc_attempt *a, uint64_t from,
                         const struct oc_msg *msg, zp_time now);

/* See RETURN VALUE.  After true, oc_attempt_end_forward has to follow.  */
bool oc_attempt_begin_forward (struct oc_attempt *a, zp_time now);

/* Ends the forward with OUTCOME and takes over its buffers.  */
void oc_attempt_end_forward (struct oc_attempt *a, struct oc_outcome *outcome,
                             zp_time now);

/* Starts to seal the key, to refuse the request for REASON.  Does nothing
   while the request is at a backend server, or when the attempt already seals,
   records or has finished.  */
void oc_attempt_refuse (struct oc_attempt *a, struct zp_str reason,
                        zp_time now);

/* Acts on the time NOW: resends messages, starts to seal, answers at the
   deadline.  */
void oc_attempt_tick (struct oc_attempt *a, zp_time now);

/* The time of the next call of oc_attempt_tick; ZP_NEVER when only an outcome
   can change the state, or when finished.  */
zp_time oc_attempt_next_tick (const struct oc_attempt *a);

/* Removes and returns the next action, or NULL.  The caller frees it with
   oc_action_free.  */
struct oc_action *oc_attempt_next_action (struct oc_attempt *a);

bool oc_attempt_finished (const struct oc_attempt *a);

#endif
