/* NAME
     replica-links - connections between the members of a replicated log

   DESCRIPTION
     Used by the replica only.  Every member opens one connection to each other
     member for its requests.  An answer is sent on the newest connection on
     which a request of that member has arrived.  A connection on which a
     request has no answer for CT_LINK_TIMEOUT is replaced, and one that ends
     is opened again after a growing backoff.  Messages that cannot be sent now
     are dropped: the core sends them again.

   ERRORS
     ct_links_open returns NULL and fills ERR when ADDRESS cannot be bound.  */

#ifndef ZP_CONTROL_REPLICA_LINKS_H
#define ZP_CONTROL_REPLICA_LINKS_H

#include <ev.h>

#include "base/err.h"
#include "ledger/core.h"

/* Longest time that a request can stay unanswered.  It is shorter than the
   lease, so that a leader whose connections have stopped working has new ones
   before it loses its followers.  */
#define CT_LINK_TIMEOUT (600 * ZP_MS)

struct ct_links;

typedef void ct_on_msg (void *self, const struct lg_msg *m);

/* KIND is WI_FOLLOW_REPORT or WI_PROPOSAL.  */
typedef void ct_on_report (void *self, uint8_t kind, struct zp_str payload);

/* ID is the id of this member.  ON_MSG is called with SELF for each message of
   another member.  */
struct ct_links *ct_links_open (struct ev_loop *ev, struct zp_str address,
                                uint64_t id, ct_on_msg *on_msg, void *self,
                                struct zp_err *err);

/* Sets the function that takes reports and proposals; it is called with the
   SELF of ct_links_open.  They are dropped while none is set.  */
void ct_links_set_on_report (struct ct_links *l, ct_on_report *on_report);
void ct_links_free (struct ct_links *l);

/* Keeps connections to these members, other than this one, and closes those
   to all others.  */
void ct_links_set_members (struct ct_links *l,
                           const struct lg_members *members);

/* Sends M to the member M->to, or drops it.  */
void ct_links_send (struct ct_links *l, zp_time now, const struct lg_msg *m);

/* Sends a report or proposal to member TO on the connection for requests.  It
   has no answer.  Returns false when it cannot be sent now.  */
bool ct_links_send_report (struct ct_links *l, uint64_t to, uint8_t kind,
                           struct zp_str payload);

/* Opens missing connections and replaces those that have timed out.  To be
   called several times a second.  */
void ct_links_check (struct ct_links *l, zp_time now);

#endif
