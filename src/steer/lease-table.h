/* NAME
     lease-table - lease table of a struct st_lessor, private to the lease
     module

   DESCRIPTION
     Shared by lease.c (table and inputs), grant.c (which holder gets free
     slots) and handover.c (planned stop of the owner); other modules use
     steer/lease.h.  */

#ifndef ZP_STEER_LEASE_TABLE_H
#define ZP_STEER_LEASE_TABLE_H

#include "steer/lease.h"

/* Lowers lease I to SLOTS slots; at 0 removes it.  */
void st_table_shrink (struct st_lessor *l, size_t i, unsigned slots);

/* Adds E and counts its slots as lent by its server.  */
struct st_lease *st_table_add (struct st_lessor *l, struct st_lease e);

/* Drops the entries that have ended by NOW, and all of them after a
   freeze.  */
void st_table_expire (struct st_lessor *l, zp_time now);

/* Asserts that no server has lent more slots or connections than its
   limits.  */
void st_table_check (const struct st_lessor *l);

/* The waiting request of HOLDER for slots of SERVICE, or NULL.  */
struct st_waiting_request *st_waiting_of (const struct st_lessor *l,
                                          uint64_t holder,
                                          const char *service);

/* Connections that are lent with each slot, and slots that can still be
   lent.  */
unsigned st_server_per_slot (const struct st_server *s);
unsigned st_server_free_slots (const struct st_server *s);

/* How long a lease on S lasts at its holder, and when the owner treats a lease
   of that length as ended: later, by the error of the clocks' rates.  */
zp_time st_server_ttl (const struct st_server *s, zp_time now);
zp_time st_lease_owner_end (zp_time now, zp_time ttl);

/* Grants free slots to the waiting requests, and recalls slots from other
   holders for those whose share is still due.  */
void st_lessor_serve (struct st_lessor *l, const struct st_view *v,
                      zp_time now, struct st_grants *out);

/* Recalls the slots that S has lent beyond its number of slots; all of them
   when it leaves or drains.  */
void st_recall_excess (struct st_lessor *l, const struct st_server *s,
                       struct st_grants *out);

/* Takes over S with the leases of H.  Returns false, with nothing changed,
   when they do not fit, one of them is in the table already, or S is not
   waiting to be taken over.  */
bool st_handover_adopt (struct st_lessor *l, struct st_server *s,
                        const struct st_handover *h, zp_time now,
                        struct st_grants *out);

#endif
