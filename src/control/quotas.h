/* NAME
     quotas - the owner of the rate limits of workspaces, on a control daemon

   DESCRIPTION
     src/quota/owner.h decides; this module feeds it.  A control daemon is the
     owner while it leads the log, holds its leader lease and is current: then
     no other member can be the owner, and it knows the configuration in force.
     It answers asks only while it is.  The limits are those of the routing
     document in force.  They are read when this member becomes the owner and
     when the document changes.

     A member that regains its lease within a term goes on with the leases that
     it has granted: in between, no other member can have been elected.  */

#ifndef ZP_CONTROL_QUOTAS_H
#define ZP_CONTROL_QUOTAS_H

#include "ledger/core.h"
#include "quota/owner.h"
#include "site/site.h"
#include "ticket/object.h"

/* Decodes a routing document.  On failure returns NULL with ERR filled.  */
typedef struct si_site *ct_decode_site (struct zp_str document,
                                        struct zp_err *err);

struct ct_quotas
{
  ct_decode_site *decode; /* NULL: there are no limits */
  struct qu_owner *owner; /* NULL before the first document with a limit */
  bool leads;             /* this member is the owner */
  uint64_t term;          /* in which it leads, or led last; 0: never */
  zp_time since;          /* it leads in TERM */
  bool has_read;          /* a document was read */
  uint64_t document;      /* the number of the last one */
  size_t limits;          /* that it has */
  struct qu_owner_counts counted; /* as last added to the metrics */
};

/* Applies the state S of the log's member and the routing document D, which is
   NULL before the first one.  Returns whether this member is the owner.  */
bool ct_quotas_update (struct ct_quotas *q, const struct lg_status *s,
                       const struct ti_document *d, zp_time now);

/* Fills GRANT, whose items the receiver frees, with the answer to A.  Returns
   false when there is none; always, when this member is not the owner.  */
bool ct_quotas_answer (struct ct_quotas *q, const struct tk_quota_ask *a,
                       zp_time now, struct tk_quota_grant *grant);

void ct_quotas_free (struct ct_quotas *q);

#endif
