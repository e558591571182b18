/* NAME
     replica-links - connections between the members of a replicated log

   DESCRIPTION
     Used by the replica only.  Every member opens one connection to each other
     member for its requests; an answer goes back on the newest connection that
     brought a request of that member.  A connection on which a request has no
     answer for CT_LINK_TIMEOUT is replaced, and one that ends is opened again with a
     growing delay.  Messages that cannot be sent now are dropped: the core
     sends them again.  */

#ifndef ZP_LEDGER_REPLICA_LINKS_H
#define ZP_LEDGER_REPLICA_LINKS_H

#include <ev.h>

#include "base/err.h"
#include "ledger/core.h"

/* Shorter than the lease, so that a leader whose connections became silent has
   fresh ones before it loses its followers.  */
#define CT_LINK_TIMEOUT (600 * ZP_MS)

struct ct_links;

typedef void ct_on_msg (void *self, const struct lg_msg *m);

/* PAYLOAD is that of a WI_FOLLOW_REPORT.  */
typedef void ct_on_report (void *self, struct zp_str payload);

struct ct_links *ct_links_open (struct ev_loop *ev, struct zp_str address,
                                uint64_t id, ct_on_msg *on_msg, void *self,
                                struct zp_err *err);

/* Reports are dropped without ON_REPORT, which is called with SELF above.  */
void ct_links_on_report (struct ct_links *l, ct_on_report *on_report);
void ct_links_free (struct ct_links *l);

/* Connects to these members from now on.  */
void ct_links_set_members (struct ct_links *l,
                           const struct lg_members *members);

void ct_links_send (struct ct_links *l, zp_time now, const struct lg_msg *m);

/* Sends a report of daemons to member TO on the connection for requests.  It
   has no answer.  Returns false when it cannot be sent now.  */
bool ct_links_send_report (struct ct_links *l, uint64_t to,
                           struct zp_str payload);

/* Opens and replaces connections; called several times a second.  */
void ct_links_check (struct ct_links *l, zp_time now);

#endif
