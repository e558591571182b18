/* NAME
     lease - the slots that this daemon lends out, its own use included

   DESCRIPTION
     A struct st_lessor grants leases on the usable servers of a struct
     st_owner.  This daemon's own requests are a lease whose holder is the
     daemon itself, so one rule covers both: at every step, the slots and
     connections in leases of a server are at most what the server announced.

     - An ask is recorded and served from free slots at once; what is missing
       waits for ST_WAIT_MAX and is granted when slots come back.  A newer ask
       of the same holder and service replaces the older one.  An ask whose
       number is not above the last one is ignored (a copy, or overtaken).
     - Free slots are divided as share.h describes.  When none is free, the
       owner recalls slots from those that hold most.  A recalled slot comes
       back when its request ends; nothing is cancelled.  With fewer slots than
       requesters, a slot is recalled after ST_TIME_SLICE.
     - A lease ends at the owner after its ttl and 1%, and never outlasts the
       ownership.  A server that leaves or drains is granted to nobody and all
       its slots are recalled.  Its leases are renewed for running requests
       only: each renewal says that no slot may be used again, so that new work
       ends within one ttl also where the recall was lost.

     Every function first applies expiry, and asserts the invariant when it
     ends.  Grants are appended to OUT for the task to send.  */

#ifndef ZP_STEER_LEASE_H
#define ZP_STEER_LEASE_H

#include "steer/owner.h"
#include "steer/view.h"

/* A grant from an older ask would reach the holder with less than half of its
   ttl left.  */
#define ST_WAIT_MAX (ZP_LEASE_TTL / 2)

/* A lease shorter than this is not worth an exchange.  */
#define ST_LEASE_MIN (100 * ZP_MS)

/* Unique over all daemons and restarts; OWNER is the one that granted it.  */
struct st_lease_id
{
  uint64_t owner, epoch, number;
};

struct st_lease_keep
{
  struct st_lease_id id;
  unsigned slots;
};

struct st_lease_request
{
  uint64_t from;
  uint64_t number; /* grows with every ask of a member, over restarts too */
  struct zp_str service;
  unsigned want;                    /* slots beyond the renewed leases */
  const struct st_lease_keep *keep; /* leases to renew, of any service */
  size_t keeps;
};

enum st_grant_kind
{
  ST_GRANT_NEW,
  ST_GRANT_RENEWED,
  ST_GRANT_SHORTAGE, /* slots of the ask that wait */
  ST_GRANT_RECALL,   /* give back what is above KEEP once it is idle */
  ST_GRANT_MOVED,    /* renew the lease at another owner */
};

struct st_grant
{
  enum st_grant_kind kind;
  uint64_t to;
  uint64_t request; /* number of the ask it answers; 0: none */
  struct st_lease_id id;
  union
  {
    struct
    {
      char server[ZP_NAME_MAX];
      char service[ZP_NAME_MAX];
      char address[ZP_ADDRESS_MAX];
      unsigned slots, connections;
      zp_time ttl;
    } lend;
    struct
    {
      unsigned slots, keep; /* as in a recall, which may have been lost */
      zp_time ttl;
    } renewed;
    struct
    {
      unsigned missing;
    } shortage;
    struct
    {
      unsigned keep;
    } recall;
    struct
    {
      uint64_t owner;
    } moved;
  } u;
};

struct st_grants
{
  struct st_grant *item;
  size_t len, cap;
};

struct st_lease
{
  struct st_lease_id id;
  uint64_t holder;
  struct st_server *server;
  unsigned slots;
  unsigned per_slot; /* connections for each slot */
  unsigned keep;     /* what is above it was recalled */
  zp_time granted, end;
};

struct st_wait
{
  uint64_t holder;
  char service[ZP_NAME_MAX];
  uint64_t request;
  unsigned want;
  zp_time since, at;
};

struct st_requester
{
  uint64_t member, last;
};

/* Hand-over of one server: its leases with the time that is left of them.  */
struct st_handover_lease
{
  struct st_lease_id id;
  uint64_t holder;
  unsigned slots, per_slot;
  zp_time left;
};

struct st_handover
{
  char server[ZP_NAME_MAX];
  zp_time uptime; /* at the last announcement to the old owner */
  zp_time at;     /* when this daemon received it */
  struct st_handover_lease *lease;
  size_t leases, cap;
};

struct st_lessor
{
  struct st_owner owner;
  uint64_t number;
  struct st_lease *lease;
  size_t leases, lease_cap;
  struct st_wait *wait;
  size_t waits, wait_cap;
  struct st_requester *requester;
  size_t requesters, requester_cap;
  struct st_handover *handover; /* received, not yet used */
  size_t handovers, handover_cap;
};

void st_lessor_init (struct st_lessor *l, uint64_t self, uint64_t epoch,
                     zp_time now);

struct st_server *st_lessor_announce (struct st_lessor *l,
                                      const struct st_view *v,
                                      const struct st_announce *a, zp_time now,
                                      struct st_grants *out,
                                      struct zp_err *err);

void st_lessor_request (struct st_lessor *l, const struct st_view *v,
                        const struct st_lease_request *a, zp_time now,
                        struct st_grants *out);

/* Holder FROM keeps at most KEEP slots of a lease.  Copies do no harm.  */
void st_lessor_return (struct st_lessor *l, const struct st_view *v,
                       uint64_t from, const struct st_lease_keep *keep,
                       zp_time now, struct st_grants *out);

/* Expiry and late grants; the task calls it at st_lessor_next.  */
void st_lessor_step (struct st_lessor *l, const struct st_view *v, zp_time now,
                     struct st_grants *out);
zp_time st_lessor_next (const struct st_lessor *l);

/* Ends granting on SERVER and fills OUT, which the caller frees with
   st_handover_free.  Returns false when there is nothing to hand over.  */
bool st_lessor_hand_over (struct st_lessor *l, struct zp_str server,
                          zp_time now, struct st_handover *out);

/* Takes in the hand-over of another owner.  Copies it.  */
void st_lessor_take_over (struct st_lessor *l, const struct st_handover *h,
                          zp_time now, struct st_grants *out);
void st_handover_free (struct st_handover *h);

/* Free and all slots of SERVICE that may be granted, for the summary.  */
unsigned st_lessor_free_slots (const struct st_lessor *l,
                               struct zp_str service, zp_time now,
                               unsigned *slots);

struct st_grant *st_grants_add (struct st_grants *g, struct st_grant item);
void st_grants_free (struct st_grants *g);
void st_lessor_free (struct st_lessor *l);

bool st_lease_id_eq (const struct st_lease_id *a, const struct st_lease_id *b);

#endif
