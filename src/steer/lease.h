/* NAME
     lease - grants leases on the slots of the servers that this daemon owns

   DESCRIPTION
     A struct st_lessor grants leases on the usable servers of a struct
     st_owner.  The holders are entry daemons.  This daemon needs a lease for
     its own requests too, with itself as the holder, so one invariant covers
     own and lent slots: the leases on a server never add up to more slots or
     connections than the server announced.

     - A lease request is served from free slots at once.  Slots that are
       missing are granted when others come back, for at most ST_WAIT_MAX.  A
       newer request of the same holder and service replaces the older one.  A
       request whose number is not above the last one of its sender is ignored:
       it is a copy or was overtaken.
     - Free slots are divided as share.h describes.  When none is free, the
       owner recalls slots from the holders with the most.  A recall cancels
       nothing: the holder returns the slot when the request that runs on it
       has ended.  With fewer slots than requesters, a slot is recalled after
       ST_TIME_SLICE.
     - At the owner a lease ends after its ttl and 1%, for the difference of
       clock rates, and never after the ownership.  A server that leaves or
       drains gets no new leases and all its slots are recalled.  Its leases
       are still renewed, so that running requests can finish.  Each renewal
       repeats the recall, so that new work on the server ends within one ttl
       even when the recall message was lost.

     Every function first removes what has expired and, at its end, asserts
     the invariant.  It appends the messages to send to OUT.  */

#ifndef ZP_STEER_LEASE_H
#define ZP_STEER_LEASE_H

#include "steer/owner.h"
#include "steer/view.h"

/* Longest time that a lease request waits.  The holder counts the ttl from its
   request, so a later grant would have less than half of its ttl left.  */
#define ST_WAIT_MAX (ZP_LEASE_TTL / 2)

/* No lease is granted or renewed for less: it would expire soon after the
   messages about it were exchanged.  */
#define ST_LEASE_TTL_MIN (100 * ZP_MS)

/* Unique over all daemons and restarts; OWNER is the one that granted it.  */
struct st_lease_id
{
  uint64_t owner, epoch, number;
};

/* The slots of a lease that its holder continues to use.  */
struct st_lease_keep
{
  struct st_lease_id id;
  unsigned slots;
};

struct st_lease_request
{
  uint64_t from;
  uint64_t number; /* grows with each request of FROM, over restarts too */
  struct zp_str service;
  unsigned want;                    /* slots beyond the renewed leases */
  const struct st_lease_keep *keep; /* leases to renew, of any service */
  size_t keeps;
};

enum st_grant_kind
{
  ST_GRANT_NEW,
  ST_GRANT_RENEWED,
  ST_GRANT_SHORTAGE, /* too few are free: the rest of the request waits */
  ST_GRANT_RECALL,   /* return the slots above KEEP as soon as they are idle */
  ST_GRANT_MOVED,    /* renew the lease at another owner */
};

struct st_grant
{
  enum st_grant_kind kind;
  uint64_t to;
  uint64_t request; /* number of the lease request it answers; 0: none */
  struct st_lease_id id;
  union
  {
    struct
    {
      char server[ZP_NAME_MAX];
      char service[ZP_NAME_MAX];
      char address[ZP_ADDRESS_MAX];
      unsigned slots, connections;
      zp_time ttl; /* the holder counts it from its request */
    } lend;
    struct
    {
      unsigned slots;
      unsigned keep; /* as in a recall, in case that one was lost */
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
  unsigned keep;     /* slots that were not recalled */
  zp_time granted, end;
};

/* A lease request that waits for slots.  */
struct st_waiting_request
{
  uint64_t holder;
  char service[ZP_NAME_MAX];
  uint64_t request; /* number of the latest lease request */
  unsigned want;    /* slots not granted yet */
  zp_time since;    /* when HOLDER began to wait for SERVICE */
  zp_time at;       /* arrival of the latest lease request */
};

/* The highest request number of a member.  */
struct st_requester
{
  uint64_t member, last;
};

/* A lease that is handed over with its server.  LEFT is what remains until it
   ends at the old owner.  */
struct st_handover_lease
{
  struct st_lease_id id;
  uint64_t holder;
  unsigned slots, per_slot;
  zp_time left;
};

/* Transfer of one server to another owner.  */
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
  uint64_t number; /* of the last lease granted */
  struct st_lease *lease;
  size_t leases, lease_cap;
  struct st_waiting_request *wait;
  size_t waits, wait_cap;
  struct st_requester *requester;
  size_t requesters, requester_cap;
  struct st_handover *handover; /* received, not applied yet */
  size_t handovers, handover_cap;
};

void st_lessor_init (struct st_lessor *l, uint64_t self, uint64_t epoch,
                     zp_time now);

/* Applies an announcement.  Returns NULL, with ERR set, if it is invalid.  */
struct st_server *st_lessor_announce (struct st_lessor *l,
                                      const struct st_view *v,
                                      const struct st_announce *a, zp_time now,
                                      struct st_grants *out,
                                      struct zp_err *err);

/* Renews the leases in A and grants the slots that it wants, as far as they
   are free.  */
void st_lessor_request (struct st_lessor *l, const struct st_view *v,
                        const struct st_lease_request *a, zp_time now,
                        struct st_grants *out);

/* Lowers a lease of holder FROM to the slots in KEEP.  Repeating it changes
   nothing.  */
void st_lessor_return (struct st_lessor *l, const struct st_view *v,
                       uint64_t from, const struct st_lease_keep *keep,
                       zp_time now, struct st_grants *out);

/* Removes what has expired and serves waiting lease requests.  The task calls
   it at the time that st_lessor_next returns.  */
void st_lessor_step (struct st_lessor *l, const struct st_view *v, zp_time now,
                     struct st_grants *out);
zp_time st_lessor_next (const struct st_lessor *l);

/* Stops granting on SERVER and fills OUT, which the caller frees with
   st_handover_free.  Returns false when there is nothing to hand over.  */
bool st_lessor_hand_over (struct st_lessor *l, struct zp_str server,
                          zp_time now, struct st_handover *out);

/* Applies the hand-over of another owner.  If that is not possible yet, keeps
   a copy of it for the next announcements of the server.  */
void st_lessor_take_over (struct st_lessor *l, const struct st_handover *h,
                          zp_time now, struct st_grants *out);
void st_handover_free (struct st_handover *h);

/* Returns the free slots of SERVICE that may be granted and stores all slots,
   free or not, in SLOTS.  The other daemons get both in a summary.  */
unsigned st_lessor_free_slots (const struct st_lessor *l,
                               struct zp_str service, zp_time now,
                               unsigned *slots);

struct st_grant *st_grants_add (struct st_grants *g, struct st_grant item);
void st_grants_free (struct st_grants *g);
void st_lessor_free (struct st_lessor *l);

bool st_lease_id_eq (const struct st_lease_id *a, const struct st_lease_id *b);

#endif
