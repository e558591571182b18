/* NAME
     callers - how long a caller's connection may be idle or send a head

   DESCRIPTION
     libmicrohttpd has one timeout for connections, fixed at its start, which
     every byte starts anew.  Here the time counts from the end of the request
     before, or from the line that begins a head, and the limits can change.  A
     connection that exceeds one is shut down; libmicrohttpd then closes it.  One
     with bytes that were not read yet is left alone: the process may have been
     paused.  A caller that sends the first line of its head slowly counts as
     idle.  */

#ifndef ZP_FRONT_CALLERS_H
#define ZP_FRONT_CALLERS_H

#include <stdbool.h>

#include "base/clock.h"

enum fr_caller_phase
{
  FR_CALLER_IDLE,
  FR_CALLER_HEAD, /* sends the head of a request */
  FR_CALLER_BODY, /* sends the body of a request */
  FR_CALLER_BUSY, /* has a request in progress */
  FR_CALLER_SHUT,
};

struct fr_caller
{
  struct fr_caller *next, *prev;
  int fd;
  enum fr_caller_phase phase;
  zp_time since; /* when the phase began */
  zp_time due;   /* FR_CALLER_BODY: when the body has to be whole */
};

struct fr_callers
{
  struct fr_caller *first;
};

struct fr_caller *fr_caller_new (struct fr_callers *c, int fd, zp_time now);
void fr_caller_free (struct fr_callers *c, struct fr_caller *x);
void fr_caller_set (struct fr_caller *x, enum fr_caller_phase phase,
                    zp_time now);

/* The head of a request was read; its body has to be whole by DUE.  */
void fr_caller_expect_body (struct fr_caller *x, zp_time due);

/* Shuts down the connections that are idle for longer than IDLE, whose head
   takes longer than HEAD (0: no limit), or whose body is late.  */
void fr_callers_check (const struct fr_callers *c, zp_time idle, zp_time head,
                       zp_time now);

#endif
