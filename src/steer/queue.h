/* NAME
     queue - bounded queue of the requests of one service

   SYNOPSIS
     struct st_queue *q = st_queue_new (queue_max, expected);
     p = st_queue_push (q, &entry, usable_slots, now);
     popped = st_queue_pop (q, now);
     st_queue_cancel (q, p.u.added);

   DESCRIPTION
     Entries leave in order of priority class, then deadline, then arrival.

     A request is refused at once when its deadline cannot be met: the entries
     that go first, and the request itself, need (ahead + 1) * service time /
     slots until a slot is free for it, and one service time more.  The
     service time is a moving mean of what st_queue_served reports, and at
     least what st_queue_set_age reports: servers that become slow show it in
     the work in progress before the first slow answer.  While no
     slot is usable the wait is not known, and the request waits until its
     deadline; a lease or a returning server may bring slots.

     A full queue refuses the least urgent of its entries and the new one.  An
     entry that can no longer finish before its deadline is refused when it
     gets its turn, and st_queue_expire finds those behind it.

     All changes cost O(log n).  The wait costs O(ahead), cut off where it
     passes the deadline.

   RETURN VALUE
     st_queue_push and st_queue_pop give tagged values.  A reference stays
     unique: cancelling an entry that has left the queue does nothing.  */

#ifndef ZP_STEER_QUEUE_H
#define ZP_STEER_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#define ST_QUEUE_CLASSES 4 /* 0 is the most urgent */
#define ST_QUEUE_MAX 65536

struct st_queue;

struct st_queue_entry
{
  uint64_t id; /* of the request; the queue does not read it */
  unsigned class;
  zp_time deadline;
};

struct st_queue_ref
{
  uint32_t slot;
  uint32_t generation;
};

enum st_push_kind
{
  ST_PUSH_ADDED,
  ST_PUSH_ADDED_EVICTED, /* another entry left and has to be refused */
  ST_PUSH_FULL,          /* refused: none is less urgent */
  ST_PUSH_TOO_LATE,      /* refused: the expected wait passes the deadline */
  ST_PUSH_EXPIRED,       /* refused: the deadline has passed */
};

struct st_push
{
  enum st_push_kind kind;
  zp_time wait; /* expected; 0 when no slot is usable */
  union
  {
    struct st_queue_ref added;
    struct
    {
      struct st_queue_ref added;
      struct st_queue_entry evicted;
    } evicted;
  } u;
};

enum st_pop_kind
{
  ST_POP_NONE, /* empty */
  ST_POP_RUN,
  ST_POP_REFUSE, /* can no longer finish before its deadline */
};

struct st_pop
{
  enum st_pop_kind kind;
  struct st_queue_entry entry;
};

/* EXPECTED is the service time until the first one is measured.  */
struct st_queue *st_queue_new (size_t max, zp_time expected);
void st_queue_free (struct st_queue *q);

/* A request of the service took ELAPSED on its server.  */
void st_queue_served (struct st_queue *q, zp_time elapsed);

/* AGE is how long the requests in progress have run on average, 0 while there
   are none.  To be called as often as st_queue_expire.  */
void st_queue_set_age (struct st_queue *q, zp_time age);

/* The service time that is expected now.  */
zp_time st_queue_service_time (const struct st_queue *q);

struct st_push st_queue_push (struct st_queue *q,
                              const struct st_queue_entry *e, uint32_t slots,
                              zp_time now);

/* The most urgent entry leaves the queue.  */
struct st_pop st_queue_pop (struct st_queue *q, zp_time now);

/* The most urgent entry, without removing it.  Returns false when empty.  */
bool st_queue_peek (const struct st_queue *q, struct st_queue_entry *out);

/* Removes one entry that can no longer finish in time.  Returns false when
   there is none.  */
bool st_queue_expire (struct st_queue *q, zp_time now,
                      struct st_queue_entry *out);

/* When st_queue_expire has work, for a timer; ZP_NEVER when empty.  */
zp_time st_queue_next_expiry (const struct st_queue *q);

/* Returns false when the entry has left the queue before.  */
bool st_queue_cancel (struct st_queue *q, struct st_queue_ref ref);

size_t st_queue_len (const struct st_queue *q);

#endif
