/* NAME
     holder - the leases that this daemon holds and the slots it uses of them

   DESCRIPTION
     The task sets how many slots a service lacks (st_holder_set_demand), takes
     a slot for every request that it forwards (st_holder_take) and releases it
     when the request ends (st_holder_release).  Slots are counted by server,
     over all leases on it, so that a request which outlives one lease can
     continue under a later lease on the same server.

     - The ttl of a lease runs from the time when its lease request was sent,
       so that the lease ends here before it ends at the owner.  If more
       requests are running then than slots remain, the task has to cancel the
       number that ST_ACTION_CANCEL names.
     - Lease requests go to the nearest owner with free slots according to the
       summaries in the view.  If no owner has any, they go to the nearest
       owner and wait there.  An owner gets at most one lease request in
       ST_REQUEST_INTERVAL, however many requests arrive; demand after a pause
       is requested at once.  An owner with free slots in another region is
       used only when the demand has lasted for one round trip to it, because a
       slot nearby is usually free earlier.  This delay does not apply when no
       owner is nearer.
     - Leases are renewed at half of their ttl.  Slots that were recalled are
       returned when they are idle, other slots after ZP_LEASE_IDLE without
       use.  Idle slots of this daemon's own servers are returned after
       ST_IDLE_OWN, so that others can use them; this daemon gets them back
       without an exchange of messages.

     The task calls st_holder_step after a change of demand and at the time
     that st_holder_next returns, and performs the actions appended to OUT.  */

#ifndef ZP_STEER_HOLDER_H
#define ZP_STEER_HOLDER_H

#include "steer/lease.h"
#include "steer/view.h"

/* Least time between two lease requests to one other owner: at most 50 a
   second.  */
#define ST_REQUEST_INTERVAL (20 * ZP_MS)

/* Idle time after which slots of own servers are returned.  Longer than the
   typical interval between two requests of a busy daemon, so that a slot in
   steady use is not returned.  */
#define ST_IDLE_OWN (20 * ZP_MS)

/* Lease requests that are remembered for each owner; a grant for an older one
   is refused.  One in each ST_REQUEST_INTERVAL makes 50 in ST_WAIT_MAX.  */
#define ST_SENT_MAX 64

enum st_action_kind
{
  ST_ACTION_REQUEST,
  ST_ACTION_RETURN,
  ST_ACTION_CANCEL,
};

/* A message to an owner, or requests that the task has to cancel.  */
struct st_action
{
  enum st_action_kind kind;
  uint64_t to; /* owner; unused in ST_ACTION_CANCEL */
  union
  {
    struct
    {
      uint64_t number;
      char service[ZP_NAME_MAX];
      unsigned want;
      struct st_lease_keep *keep; /* freed by st_actions_free */
      size_t keeps;
    } request;
    struct st_lease_keep ret;
    struct
    {
      char server[ZP_NAME_MAX];
      unsigned count; /* their slots are already counted as released */
    } cancel;
  } u;
};

struct st_actions
{
  struct st_action *item;
  size_t len, cap;
};

struct st_held_lease
{
  struct st_lease_id id;
  uint64_t owner; /* renews it; differs from ID.OWNER after a hand-over */
  size_t server;  /* index in the holder's servers */
  unsigned slots, keep;
  zp_time granted, end;
};

/* The slots that this daemon holds on one server, over all leases on it.  */
struct st_held_server
{
  char server[ZP_NAME_MAX];
  char service[ZP_NAME_MAX];
  char address[ZP_ADDRESS_MAX];
  unsigned slots, keep; /* sums over the leases */
  unsigned connections; /* for each slot */
  unsigned used;
  unsigned peak[2];   /* most slots in use in this ST_IDLE_HALF and the last */
  zp_time peak_since; /* when the period of peak[0] began */
  zp_time full_at;    /* when all slots were last in use */
};

/* When a lease request was sent.  */
struct st_sent_request
{
  uint64_t number;
  zp_time at;
};

/* An owner that lends to this daemon.  */
struct st_lender
{
  uint64_t owner;
  uint64_t epoch, number; /* of the newest lease that was granted */
  zp_time requested;      /* when the last lease request was sent */
  struct st_sent_request sent[ST_SENT_MAX]; /* ring */
  size_t next;                              /* lease requests sent so far */
};

struct st_demand
{
  char service[ZP_NAME_MAX];
  unsigned missing;
  zp_time since; /* last time when nothing was missing */
};

/* Slots of one service that were requested from an owner and not granted yet.
 */
struct st_open_request
{
  uint64_t owner;
  char service[ZP_NAME_MAX];
  uint64_t request;
  unsigned want;
  bool none_free; /* the owner has answered ST_GRANT_SHORTAGE */
  zp_time at;
};

struct st_holder
{
  uint64_t self;
  uint64_t number; /* of the last lease request sent */
  struct st_held_lease *lease;
  size_t leases, lease_cap;
  struct st_held_server *server;
  size_t servers, server_cap;
  struct st_lender *lender;
  size_t lenders, lender_cap;
  struct st_demand *demand;
  size_t demands, demand_cap;
  struct st_open_request *open;
  size_t opens, open_cap;
};

/* FIRST is above the number of every lease request that an earlier process of
   this member has sent.  */
void st_holder_init (struct st_holder *h, uint64_t self, uint64_t first);

/* Sets the number of slots that SERVICE lacks.  */
void st_holder_set_demand (struct st_holder *h, struct zp_str service,
                           unsigned missing);

/* Applies a message of the owner FROM.  */
void st_holder_grant (struct st_holder *h, uint64_t from,
                      const struct st_grant *g, zp_time now,
                      struct st_actions *out);

void st_holder_step (struct st_holder *h, const struct st_view *v, zp_time now,
                     struct st_actions *out);
zp_time st_holder_next (const struct st_holder *h, zp_time now);

/* Takes one slot of SERVER.  Returns false when none is free.  The slot is
   valid until it is released or an ST_ACTION_CANCEL includes it.  */
bool st_holder_take (struct st_holder *h, struct zp_str server, zp_time now,
                     struct st_actions *out);

/* Releases the slot of a request that no ST_ACTION_CANCEL has cancelled.  If a
   lease expires in this call, OUT may hold an ST_ACTION_CANCEL, and the
   request that has just ended may be the one to cancel.  */
void st_holder_release (struct st_holder *h, struct zp_str server, zp_time now,
                        struct st_actions *out);

/* Slots of SERVER that st_holder_take can take.  */
unsigned st_holder_free_slots (const struct st_holder *h, struct zp_str server,
                               zp_time now);

/* Slots of SERVER in leases that have not ended.  */
unsigned st_holder_slots (const struct st_holder *h, struct zp_str server,
                          zp_time now);

void st_actions_free (struct st_actions *o);
void st_holder_free (struct st_holder *h);

#endif
