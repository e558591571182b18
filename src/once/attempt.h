/* NAME
     attempt - one try of an at-most-once request at an entry daemon

   SYNOPSIS
     a = oc_attempt_new (id, key, &home, now, deadline);
     after every call: while ((o = oc_attempt_next_action (a))) act on o;
     at oc_attempt_next_tick (a): oc_attempt_tick (a, now);

   DESCRIPTION
     The attempt claims its key at all members of the home.  With a quorum it
     puts out OC_FORWARD.  The caller of the module then calls
     oc_attempt_begin_forward immediately before each time that it hands the
     request to a backend server, and oc_attempt_end_forward with what came of it.
     After a proven not-run it may forward again, or call oc_attempt_refuse.

     Every refusal seals the key first.  It is answered not-run when a quorum
     of members is sealed; until then the attempt asks again, and answers with
     the outcome that another attempt recorded, or may-have-run at the
     deadline.  An attempt that has not forwarded shortly before its deadline
     gives up by itself, so that there is time left to seal.

     Exactly one OC_ANSWERED or OC_REFUSED is put out.  Messages to members may
     follow it: an outcome is recorded, and a seal completed, for up to
     OC_LINGER after the deadline.  The attempt may be freed when
     oc_attempt_finished is true; it is safe, though later answers become
     may-have-run, to free it at any other time.

   RETURN VALUE
     oc_attempt_begin_forward returns false when the request must not be handed
     to a backend server: no quorum, deadline too near, given up, or already
     handed over.  */

#ifndef ZP_ONCE_ATTEMPT_H
#define ZP_ONCE_ATTEMPT_H

#include "once/home.h"
#include "once/action.h"

/* Above the round trip of 110 ms between regions.  */
#define OC_BACKOFF_MIN (150 * ZP_MS)
#define OC_BACKOFF_MAX (1200 * ZP_MS)
/* Between two questions for the outcome of another attempt.  */
#define OC_POLL_INTERVAL (25 * ZP_MS)
/* Time kept for sealing before the deadline, at most a quarter of the whole:
   two round trips between regions and 80 ms for queues.  */
#define OC_SEAL_MARGIN (300 * ZP_MS)
#define OC_LINGER (2000 * ZP_MS)

struct oc_attempt;

/* HOME is the home that oc_key_parse read from KEY.  ID is never used for
   another attempt.  */
struct oc_attempt *oc_attempt_new (struct oc_attempt_id id, struct zp_str key,
                                   const struct oc_home *home, zp_time now,
                                   zp_time deadline);
void oc_attempt_free (struct oc_attempt *a);

/* An OC_ANSWER of the member FROM.  MSG stays with the caller.  */
void oc_attempt_receive (struct oc_attempt *a, uint64_t from,
                         const struct oc_msg *msg, zp_time now);

bool oc_attempt_begin_forward (struct oc_attempt *a, zp_time now);

/* Takes over the buffers of OUTCOME.  */
void oc_attempt_end_forward (struct oc_attempt *a, struct oc_outcome *outcome,
                             zp_time now);

/* Gives up; without effect while the request is at a backend server.  */
void oc_attempt_refuse (struct oc_attempt *a, struct zp_str reason,
                        zp_time now);

void oc_attempt_tick (struct oc_attempt *a, zp_time now);

/* When oc_attempt_tick has work at the latest; ZP_NEVER when finished.  */
zp_time oc_attempt_next_tick (const struct oc_attempt *a);

/* The next output, or NULL.  The caller frees it with oc_action_free.  */
struct oc_action *oc_attempt_next_action (struct oc_attempt *a);

bool oc_attempt_finished (const struct oc_attempt *a);

#endif
