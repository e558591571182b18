/* NAME
     table - the lease table of a struct st_lessor, inside the lease module

   DESCRIPTION
     Shared by lease.c (table and inputs), grant.c (who gets free slots) and
     handover.c (planned stop); other modules use steer/lease.h.  */

#ifndef ZP_STEER_LEASE_TABLE_H
#define ZP_STEER_LEASE_TABLE_H

#include "steer/lease.h"

/* Lowers lease I to SLOTS and removes it at 0.  */
void st_table_shrink (struct st_lessor *l, size_t i, unsigned slots);
struct st_lease *st_table_add (struct st_lessor *l, struct st_lease e);

/* Drops what has ended by NOW, and everything after a freeze.  */
void st_table_expire (struct st_lessor *l, zp_time now);

/* Asserts that no server is lent beyond its limits.  */
void st_table_check (const struct st_lessor *l);

struct st_wait *st_wait_of (const struct st_lessor *l, uint64_t holder,
                            const char *service);

/* Connections that go with each slot, and slots that can still be lent.  */
unsigned st_server_per_slot (const struct st_server *s);
unsigned st_server_free (const struct st_server *s);

/* How long a lease on S may last for its holder, and when the owner counts it
   as ended.  */
zp_time st_server_ttl (const struct st_server *s, zp_time now);
zp_time st_owner_end (zp_time now, zp_time ttl);

/* Grants free slots to waiting asks and recalls what is due to the rest.  */
void st_lessor_serve (struct st_lessor *l, const struct st_view *v,
                      zp_time now, struct st_grants *out);

/* Recalls what is lent beyond the slots of a server that lowered them, or that
   leaves or drains.  */
void st_recall_excess (struct st_lessor *l, const struct st_server *s,
                       struct st_grants *out);

/* Takes over S with the leases of H.  Returns false when S has to wait.  */
bool st_handover_adopt (struct st_lessor *l, struct st_server *s,
                        const struct st_handover *h, zp_time now,
                        struct st_grants *out);

#endif
