/* NAME
     health - the health of a backend server, found out by its work

   SYNOPSIS
     st_health_add (&h, &group, now);
     if (st_health_state (&h, now) == ST_HEALTH_PROBE_DUE)
       st_health_probe (&h, now);
     e = st_health_outcome (&h, &group, &outcome, now, rng);
     st_health_remove (&h, &group);

   DESCRIPTION
     Each outcome adds failure points to the server and an answer clears them;
     a server with ST_HEALTH_POINTS_MAX points, or one that fails half of its recent
     work, is ejected.  The ejection time doubles from one ejection to the next
     and is jittered, so that daemons do not return to a server together.  When
     it has passed, one request probes the server: an answer returns it, with
     a slow start, and a failure ejects it again.

     A lost connection or a timeout says little by itself, because an open
     connection can become silent while the server is well.  It gives no
     points and puts the server in doubt.  Only attempts that start later, on
     a fresh connection (st_health_wants_fresh), are the test and give points.
     A server that sheds load is not failing.

     A struct st_health_group counts the servers of one service.  Not more than
     ST_HEALTH_EJECT_DIVISOR of them are ejected at once, so that a caller whose
     requests always fail cannot empty the service.  Servers that refuse
     connections are ejected beyond this share: half of the servers of a
     service can die at once, and no caller can bring a refusal about.  Servers
     that stop announcing leave the group outside this share.

   RETURN VALUE
     st_health_outcome returns what changed, for the log.  */

#ifndef ZP_STEER_HEALTH_H
#define ZP_STEER_HEALTH_H

#include <stdbool.h>

#include "base/clock.h"
#include "base/rng.h"

#define ST_HEALTH_POINTS_MAX 8
#define ST_HEALTH_EJECT_DIVISOR 3 /* one in three servers of a service */
#define ST_HEALTH_EJECT_FIRST (1 * ZP_SEC)
#define ST_HEALTH_EJECT_MAX (60 * ZP_SEC)
#define ST_HEALTH_SLOW_START (10 * ZP_SEC)

/* How an attempt on a backend server ended.  */
enum st_end
{
  ST_END_ANSWER,
  ST_END_STATUS,    /* whole answer with a failure status */
  ST_END_SHED,      /* the server refused it, with the verdict not-run */
  ST_END_REFUSED,   /* no connection; no byte was sent */
  ST_END_LOST,      /* connection lost after bytes were sent */
  ST_END_TIMEOUT,   /* no answer in time */
  ST_END_LATE,      /* whole answer, behind the deadline */
  ST_END_CANCELLED, /* ended by us; says nothing about the server */
};

struct st_outcome
{
  enum st_end end;
  zp_time started;
  bool fresh; /* the attempt opened its own connection */
};

enum st_health_kind
{
  ST_HEALTH_UP,
  ST_HEALTH_EJECTED,
  ST_HEALTH_PROBE_DUE, /* the next request may be the probe */
  ST_HEALTH_PROBING,   /* the probe is running */
};

struct st_health
{
  enum st_health_kind kind;
  unsigned points;
  double failure_rate; /* share of recent outcomes that failed */
  unsigned outcomes;   /* outcomes since the server was added or returned */
  bool suspected;
  zp_time suspected_at;
  zp_time ramp_from;
  zp_time returned_at;
  zp_time until; /* end of the ejection, or of the wait for the probe */
  zp_time probe_started;
  unsigned ejections; /* in a row */
};

struct st_health_group
{
  unsigned servers;
  unsigned ejected;
};

enum st_health_event_kind
{
  ST_EVENT_NONE,
  ST_EVENT_SUSPECTED, /* the next attempt tests the server */
  ST_EVENT_EJECTED,   /* until UNTIL */
  ST_EVENT_CAPPED,    /* would be ejected, but the share is used up */
  ST_EVENT_RETURNED,  /* the probe was answered */
};

struct st_health_event
{
  enum st_health_event_kind kind;
  zp_time until;
};

/* A new server, or one that has restarted or whose cache is cold, begins with
   a slow start.  */
void st_health_add (struct st_health *h, struct st_health_group *g,
                    zp_time now);
void st_health_cold (struct st_health *h, zp_time now);
void st_health_remove (struct st_health *h, struct st_health_group *g);

enum st_health_kind st_health_state (const struct st_health *h, zp_time now);

/* Whether the next attempt has to open a connection of its own.  */
bool st_health_wants_fresh (const struct st_health *h);

/* The share of its slots that the server may be given, above 0 up to 1.  */
double st_health_ramp (const struct st_health *h, zp_time now);

/* Notes that a request is sent as the probe.  The state has to be
   ST_HEALTH_PROBE_DUE.  */
void st_health_probe (struct st_health *h, zp_time now);

struct st_health_event st_health_outcome (struct st_health *h,
                                          struct st_health_group *g,
                                          const struct st_outcome *o,
                                          zp_time now, struct zp_rng *rng);

const char *st_end_name (enum st_end end);

#endif
