/* NAME
     health - passive health checks of a backend server, with outlier ejection

   SYNOPSIS
     st_health_add (&h, &group, now);
     if (st_health_state (&h, now) == ST_HEALTH_PROBE_DUE)
       st_health_begin_probe (&h, now);
     e = st_health_outcome (&h, &group, &outcome, now, rng);
     st_health_remove (&h, &group);

   DESCRIPTION
     The outcome of each attempt at a server is reported.  Failures add points
     to the server, and an answer clears them.  A server is ejected when it has
     ST_HEALTH_POINTS_MAX points or when it fails more than half of its recent
     requests.  The ejection time doubles with each ejection in a row and is
     jittered, so that daemons do not return to a server all at once.  After
     that time one request probes the server: an answer returns the server to
     use with a slow start, and a failure ejects it again.

     A lost connection or a timeout is weak evidence, because an open
     connection can go silent while the server is healthy.  It adds no points,
     but marks the server as suspected.  While a server is suspected, attempts
     have to open fresh connections (st_health_wants_fresh).  Failures of
     attempts that started after the suspicion, on a fresh connection, do add
     points.  A server that sheds load is not failing.

     A struct st_health_group counts the servers of one service.  At most one
     in ST_HEALTH_EJECT_DIVISOR of them is ejected at a time, so that a caller
     whose requests always fail cannot empty the service.  Servers that refuse
     connections are ejected beyond this limit: half of the servers of a
     service can die at once, and no caller can cause a refusal.  Servers that
     stop announcing leave the group; the limit does not apply to them.

   RETURN VALUE
     st_health_outcome returns the change of state, for the log.  */

#ifndef ZP_STEER_HEALTH_H
#define ZP_STEER_HEALTH_H

#include <stdbool.h>

#include "base/clock.h"
#include "base/rng.h"

#define ST_HEALTH_POINTS_MAX 8    /* a server with these is ejected */
#define ST_HEALTH_EJECT_DIVISOR 3 /* one server in three */
#define ST_HEALTH_EJECT_FIRST (1 * ZP_SEC)
#define ST_HEALTH_EJECT_MAX (60 * ZP_SEC)
#define ST_HEALTH_SLOW_START (10 * ZP_SEC)

/* How an attempt on a backend server ended.  */
enum st_attempt_end
{
  ST_END_ANSWER,
  ST_END_STATUS,    /* whole answer with a failure status */
  ST_END_SHED,      /* the server shed it, with the verdict not-run */
  ST_END_REFUSED,   /* no connection; no byte was sent */
  ST_END_LOST,      /* connection lost after bytes were sent */
  ST_END_TIMEOUT,   /* no answer in time */
  ST_END_LATE,      /* whole answer, after the deadline */
  ST_END_CANCELLED, /* by this side; no evidence about the server */
};

/* The outcome of an attempt.  */
struct st_outcome
{
  enum st_attempt_end end;
  zp_time started; /* when the attempt began */
  bool fresh;      /* the attempt opened its own connection */
};

enum st_health_kind
{
  ST_HEALTH_UP,
  ST_HEALTH_EJECTED,
  ST_HEALTH_PROBE_DUE, /* the next request can be sent as the probe */
  ST_HEALTH_PROBING,   /* the probe is running */
};

struct st_health
{
  enum st_health_kind kind;
  unsigned points;
  double failure_rate; /* exponential moving average, 0 to 1 */
  unsigned outcomes;   /* counted since the server was added or returned */
  bool suspected;      /* by a lost or silent connection since SUSPECTED_AT */
  zp_time suspected_at;
  zp_time ramp_from;   /* begin of the slow start */
  zp_time returned_at; /* to use, or when it was added */
  zp_time until;       /* end of the ejection, or timeout of the probe */
  zp_time probe_started;
  unsigned ejections; /* in a row */
};

/* The servers of one service.  */
struct st_health_group
{
  unsigned servers;
  unsigned ejected; /* of them, those that are not ST_HEALTH_UP */
};

enum st_health_event_kind
{
  ST_EVENT_NONE,
  ST_EVENT_SUSPECTED, /* the next attempts need fresh connections */
  ST_EVENT_EJECTED,   /* until UNTIL */
  ST_EVENT_CAPPED,    /* not ejected: the group is at its limit */
  ST_EVENT_RETURNED,  /* the probe was answered */
};

struct st_health_event
{
  enum st_health_event_kind kind;
  zp_time until; /* only for ST_EVENT_EJECTED */
};

/* Adds a new server to its group.  It begins with a slow start.  */
void st_health_add (struct st_health *h, struct st_health_group *g,
                    zp_time now);

/* Begins a slow start, for a server that has restarted or whose cache is
   cold.  */
void st_health_slow_start (struct st_health *h, zp_time now);
void st_health_remove (struct st_health *h, struct st_health_group *g);

enum st_health_kind st_health_state (const struct st_health *h, zp_time now);

/* Whether the next attempt has to open a connection of its own.  */
bool st_health_wants_fresh (const struct st_health *h);

/* The share of its slots that can be used during a slow start: grows linearly
   from a minimum above 0 to 1 in ST_HEALTH_SLOW_START.  */
double st_health_ramp (const struct st_health *h, zp_time now);

/* Records that a request is now sent as the probe.  The state must be
   ST_HEALTH_PROBE_DUE.  */
void st_health_begin_probe (struct st_health *h, zp_time now);

/* Reports the outcome of an attempt.  RNG gives the jitter.  */
struct st_health_event st_health_outcome (struct st_health *h,
                                          struct st_health_group *g,
                                          const struct st_outcome *o,
                                          zp_time now, struct zp_rng *rng);

/* The name of END in log records, such as "timeout".  */
const char *st_attempt_end_name (enum st_attempt_end end);

#endif
