/* NAME
     holder - the leases that this daemon holds, and what it asks for

   DESCRIPTION
     The task states how many slots a service lacks (st_holder_set_demand), takes a
     slot for every request it forwards (st_holder_take) and gives it back
     (st_holder_release).  Slots belong to a server, not to one lease, so that a
     request goes on under a later lease of the same server.

     - A lease is counted from the time when its ask was sent, so it ends here
       before it ends at the owner.  Requests beyond the slots that are left
       have to be cancelled: ST_ACTION_CANCEL names how many.
     - Asks go to the nearest owner with free slots, by the summaries in the
       view, then to the nearest owner at all, where they wait.  One owner gets
       at most one ask in ST_REQUEST_INTERVAL, however many requests arrive; demand that
       comes after a pause is asked for at once.  An owner in another region is
       asked only when the demand has lasted for the round trip, because a slot
       nearby is usually free earlier; not so when there is no nearer owner.
     - Leases are renewed at half of their ttl.  What has been idle for
       ZP_LEASE_IDLE, or was recalled, is returned.  Slots of this daemon's own
       servers return after ST_IDLE_OWN, since they need no exchange to come
       back, so that others can use them meanwhile.

     The task calls st_holder_step after a change of demand and at
     st_holder_next, and sends what is appended to OUT.  */

#ifndef ZP_STEER_HOLDER_H
#define ZP_STEER_HOLDER_H

#include "steer/lease.h"
#include "steer/view.h"

/* Least time between two asks to one other owner: 50 a second at most.  */
#define ST_REQUEST_INTERVAL (20 * ZP_MS)

/* Above the usual gap between two requests of a busy daemon.  */
#define ST_IDLE_OWN (20 * ZP_MS)

/* Asks whose answer is still accepted, for each owner.  ST_WAIT_MAX at one ask
   in ST_REQUEST_INTERVAL is 50.  */
#define ST_SENT_MAX 64

enum st_action_kind
{
  ST_ACTION_REQUEST,
  ST_ACTION_RETURN,
  ST_ACTION_CANCEL,
};

struct st_action
{
  enum st_action_kind kind;
  uint64_t to; /* owner; unused for a cancel */
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
      unsigned count; /* these slots count as given back already */
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
  uint64_t owner; /* where it is renewed */
  size_t server;
  unsigned slots, keep;
  zp_time granted, end;
};

/* The slots of one server, over all leases on it.  */
struct st_held_server
{
  char server[ZP_NAME_MAX];
  char service[ZP_NAME_MAX];
  char address[ZP_ADDRESS_MAX];
  unsigned slots, keep; /* sums over the leases */
  unsigned connections;
  unsigned used;
  unsigned peak[2]; /* most used in this half period and the one before */
  zp_time peak_since;
  zp_time full_at; /* when all slots were last in use */
};

struct st_sent_request
{
  uint64_t number;
  zp_time at;
};

struct st_lender
{
  uint64_t owner;
  uint64_t epoch, number; /* highest lease that was taken in */
  zp_time requested;
  struct st_sent_request sent[ST_SENT_MAX];
  size_t next;
};

struct st_demand
{
  char service[ZP_NAME_MAX];
  unsigned missing;
  zp_time since; /* when nothing was missing for the last time */
};

/* Slots asked for and not granted yet.  */
struct st_open_request
{
  uint64_t owner;
  char service[ZP_NAME_MAX];
  uint64_t request;
  unsigned want;
  bool none_free; /* the owner has answered that they have to wait */
  zp_time at;
};

struct st_holder
{
  uint64_t self;
  uint64_t number;
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

/* FIRST is above the number of every ask that an earlier process of this
   member has sent.  */
void st_holder_init (struct st_holder *h, uint64_t self, uint64_t first);

void st_holder_set_demand (struct st_holder *h, struct zp_str service,
                           unsigned missing);

/* Takes in a grant that came from member FROM.  */
void st_holder_grant (struct st_holder *h, uint64_t from,
                      const struct st_grant *g, zp_time now,
                      struct st_actions *out);

void st_holder_step (struct st_holder *h, const struct st_view *v, zp_time now,
                     struct st_actions *out);
zp_time st_holder_next (const struct st_holder *h, zp_time now);

/* Takes one slot of SERVER.  Returns false when none is free.  The slot is
   valid until the seat's leases end or st_holder_step cancels it.  */
bool st_holder_take (struct st_holder *h, struct zp_str server, zp_time now,
                     struct st_actions *out);

/* Ends a request that was not cancelled by ST_ACTION_CANCEL.  A cancel in OUT may
   find that this was the request to cancel.  */
void st_holder_release (struct st_holder *h, struct zp_str server, zp_time now,
                        struct st_actions *out);

/* Slots of SERVER that may be taken.  */
unsigned st_holder_free_slots (const struct st_holder *h, struct zp_str server,
                               zp_time now);

/* Slots of SERVER in leases that have not ended.  */
unsigned st_holder_slots (const struct st_holder *h, struct zp_str server,
                          zp_time now);

void st_actions_free (struct st_actions *o);
void st_holder_free (struct st_holder *h);

#endif
