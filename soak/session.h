/* NAME
     session - connections of a server of the platform soak

   DESCRIPTION
     Answers the requests of a connection, with the faults of the plan, and
     records each attempt.  soak/server.c describes the record.  */

#ifndef SOAK_SESSION_H
#define SOAK_SESSION_H

#include <stdatomic.h>

#include "base/clock.h"
#include "fault.h"

#define SK_CAPACITY 12 /* requests that run at a time */
#define SK_EVENTS_MAX 64
#define SK_LEAVES_MAX 16
#define SK_CONTROLS_MAX 8

/* A fault of the plan.  */
struct sk_event
{
  zp_time from, until;
  struct sk_fault fault;
  unsigned dose; /* percent of the answers */
};

/* A planned leave.  */
struct sk_leave
{
  zp_time at, lasts;
  bool reports; /* that it is draining */
};

/* A server.  All but the counters is written before the threads start.  */
struct sk_server
{
  uint32_t seed;
  const char *name, *service, *zone, *address;
  char id[64];
  unsigned start; /* number of the child process */
  char *control[SK_CONTROLS_MAX];
  unsigned controls;
  int record;
  struct sk_event event[SK_EVENTS_MAX];
  unsigned events;
  struct sk_leave leave[SK_LEAVES_MAX];
  unsigned leaves;
  int listener;
  atomic_uint connections, runs, running;
  atomic_bool draining;
};

/* Serves the connection FD in a thread of its own, which closes it.  Returns
   false when there is no memory or no thread.  */
bool sk_session_start (struct sk_server *v, int fd);

#endif
