/* NAME
     stop - which requests an entry daemon takes during its graceful shutdown

   DESCRIPTION
     Pure.  A daemon that is told to stop is killed after a fixed time, and a
     request that is at a server then is cut without an answer.  So a request
     is sent to a server only when it is expected to end before the shutdown
     does:

     - One whose deadline lies before the end is always sent, because at the
       deadline it has an answer of some kind.
     - Another one is sent only when it arrived while callers could hold a
       valid look-up that names this daemon, and when ST_STOP_TIME_FACTOR times
       the expected time fits.

     All others are refused at once as not run; their callers reach another
     entry VM within milliseconds.  Connections that callers keep can bring
     requests until the daemon ends.

     A request that is already at a server is never ended sooner.  Before the
     daemon ends, requests that still wait for a server are refused, so that
     their answers can be sent.  */

#ifndef ZP_STEER_STOP_H
#define ZP_STEER_STOP_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"

/* A request is taken for this long after the last valid look-up has expired:
   the time to connect and to send a request.  */
#define ST_STOP_TAKE_SLACK (500 * ZP_MS)

/* Requests take up to three times the mean, most of them less than twice.  */
#define ST_STOP_TIME_FACTOR 2

/* Time before the end in which nothing is sent to servers any more: the
   refusals need it to reach their callers, up to 110 ms away.  */
#define ST_STOP_ANSWER_TIME (250 * ZP_MS)

/* The same for a daemon that was paused over that time.  It is taken from the
   reserve before the kill, so it is shorter: one way to a caller, and a check
   of the shutdown.  */
#define ST_STOP_LATE_TIME (150 * ZP_MS)

/* No request in progress for this long ends the shutdown early.  A request that
   a caller has already sent can still be under way; callers are up to 110 ms
   away.  */
#define ST_STOP_LINGER (300 * ZP_MS)

struct st_stop
{
  bool begun;
  zp_time since;
  zp_time lookup_ttl;   /* how long callers use a look-up */
  zp_time length;       /* from SINCE to the end */
  zp_time busy_at;      /* last time with a request in progress */
  zp_time answering_at; /* when the refusals began; 0: they have not */
};

enum st_stop_phase
{
  ST_STOP_NOT_BEGUN,
  ST_STOP_LISTENING, /* callers may hold a valid look-up */
  ST_STOP_DRAINING,  /* no new connections */
  ST_STOP_ANSWERING, /* requests that wait for a server are refused */
  ST_STOP_OVER,
};

void st_stop_begin (struct st_stop *s, zp_time now, zp_time lookup_ttl,
                    zp_time length);

/* UNFINISHED: requests without an answer, or whose answer is being sent.  */
enum st_stop_phase st_stop_step (struct st_stop *s, zp_time now,
                                 size_t unfinished);

struct st_stop_request
{
  zp_time now;
  zp_time arrived;  /* when the daemon had read it */
  zp_time deadline; /* when it is answered at the latest */
  zp_time expected; /* time that it takes at a server */
};

/* Whether the request may be sent to a server now, for the first time or
   again.  */
bool st_stop_allows (const struct st_stop *s, const struct st_stop_request *r);

#endif
