/* NAME
     queue - bounded queue of the requests of one service

   SYNOPSIS
     struct st_queue *q = st_queue_new (queue_max, expected);
     p = st_queue_push (q, &entry, usable_slots, now);
     popped = st_queue_pop (q, now);
     st_queue_cancel (q, p.u.added);

   DESCRIPTION
     Entries leave in the order of priority class, then deadline, then
     arrival.

     A request is refused at once when it cannot meet its deadline.  With
     AHEAD entries before it, it waits (AHEAD + 1) * service time / slots for a
     free slot and then needs one service time.  The service time is an
     exponential moving average of the times given to st_queue_served, and at
     least the age given to st_queue_set_age: when servers become slow, the age
     of the requests in progress shows it before the first slow answer.  While
     no slot is usable the wait is unknown, and requests are queued until their
     deadline, because a lease or a returning server may bring slots.

     When the queue is full, the least urgent of its entries and the new one is
     refused.  An entry that can no longer finish before its deadline is
     refused when it reaches the head; st_queue_expire finds such entries
     further back.

     All changes cost O(log n).  Computing the wait costs O(AHEAD), and stops
     where the wait passes the deadline.

   RETURN VALUE
     st_queue_push and st_queue_pop return tagged values.  References are never
     reused: cancelling an entry that has left the queue does nothing.  */

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
  uint64_t id; /* of the request; not used by the queue */
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
  ST_PUSH_ADDED_EVICTED, /* the caller must refuse the evicted entry */
  ST_PUSH_FULL,          /* refused: no entry is less urgent */
  ST_PUSH_TOO_LATE,      /* refused: the expected wait passes the deadline */
  ST_PUSH_EXPIRED,       /* refused: the deadline has passed */
};

struct st_push
{
  enum st_push_kind kind;
  zp_time wait; /* expected wait for a slot; 0 when no slot is usable */
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

/* MAX is the largest number of entries, up to ST_QUEUE_MAX.  EXPECTED is the
   service time until the first one is measured.  */
struct st_queue *st_queue_new (size_t max, zp_time expected);
void st_queue_free (struct st_queue *q);

/* Adds ELAPSED, the time that a request took on its server.  */
void st_queue_served (struct st_queue *q, zp_time elapsed);

/* Sets the mean age of the requests in progress; 0 while there are none.  To
   be called as often as st_queue_expire.  */
void st_queue_set_age (struct st_queue *q, zp_time age);

/* The expected service time.  */
zp_time st_queue_service_time (const struct st_queue *q);

/* Adds E.  SLOTS is the number of usable slots of the service.  */
struct st_push st_queue_push (struct st_queue *q,
                              const struct st_queue_entry *e, uint32_t slots,
                              zp_time now);

/* Removes the most urgent entry.  */
struct st_pop st_queue_pop (struct st_queue *q, zp_time now);

/* Sets OUT to the most urgent entry without removing it.  Returns false when
   the queue is empty.  */
bool st_queue_peek (const struct st_queue *q, struct st_queue_entry *out);

/* Removes one entry that can no longer finish in time.  Returns false when
   there is none.  */
bool st_queue_expire (struct st_queue *q, zp_time now,
                      struct st_queue_entry *out);

/* When the first entry expires by the moving average of the service time, for
   a timer; ZP_NEVER when the queue is empty.  */
zp_time st_queue_next_expiry (const struct st_queue *q);

/* Removes the entry REF.  Returns false when it has left the queue before.  */
bool st_queue_cancel (struct st_queue *q, struct st_queue_ref ref);

size_t st_queue_len (const struct st_queue *q);

#endif
