/* NAME
     place - choice of the backend server for one request

   SYNOPSIS
     p = st_place (candidates, n, &request, rng);
     st_placement_text (&p, &line);

   DESCRIPTION
     A candidate is the view that this daemon has of one backend server.  The
     servers of the same failure domain come first, then those of the region,
     then those of the nearest other region.  Inside a tier two servers are
     picked at random and the one with the lower score wins, so that daemons
     with equal views do not all choose the same server.

     The score is the expected share of the server's slots in use with this
     request added.  It counts our own requests in flight, and the requests of
     others as far as a report shows them.  The weight of a report halves with
     each second of its age.  Our own counts beat a report: requests that it
     does not show are still counted, and it never adds more than the slots
     that are not ours, since the owner's leases keep others out of those.

     A server in its slow start takes only the share of its slots that its
     ramp allows, so that a newcomer with nothing in flight does not attract
     everything; and it counts as smaller by its ramp.  When no tier has a
     server within its ramp, the ramp no longer limits, because waiting
     servers help nobody.  A cold cache counts as half a request more.

     A server that is due for its probe gets one request when its tier is the
     best one.  A retry or a suspect request is never a probe.  A suspect
     request (see poison) goes to a server without other work of ours only.

   RETURN VALUE
     A tagged value.  A placement that found no server counts why each
     candidate was passed over; its kind is the reason that waiting can
     change soonest.  */

#ifndef ZP_STEER_PLACE_H
#define ZP_STEER_PLACE_H

#include "base/str.h"
#include "steer/health.h"

#define ST_CANDIDATES_MAX 4096

enum st_tier
{
  ST_TIER_DOMAIN, /* same failure domain */
  ST_TIER_REGION,
  ST_TIER_REMOTE,
  ST_TIERS,
};

enum st_report_kind
{
  ST_REPORT_NONE,
  ST_REPORT_INFLIGHT, /* requests in flight on the server, of all daemons */
  ST_REPORT_LOAD,     /* 0 to 1, a share of the server's slots */
};

struct st_load_report
{
  enum st_report_kind kind;
  zp_time age;
  union
  {
    uint32_t inflight;
    double load;
  } u;
};

struct st_candidate
{
  uint64_t server; /* zp_str_hash of its id, the same on every daemon */
  enum st_tier tier;
  zp_time latency;   /* one way; read for ST_TIER_REMOTE */
  uint32_t capacity; /* slots of the server */
  uint32_t slots;    /* of these, ours now: owned or leased */
  uint32_t own;      /* our requests in flight there */
  double ramp;       /* st_health_ramp */
  struct st_load_report report;
  enum st_health_kind health; /* st_health_state */
  bool cold;
  bool leaving;
  bool tried;    /* an earlier attempt of this request went there */
  bool reserved; /* a suspect request runs alone there */
  bool blocked;  /* no connection, or no share of the link, is left */
};

struct st_place_request
{
  bool alone; /* a suspect request */
  bool retry;
  uint64_t only; /* 0: any; else the one server to use (see poison) */
};

enum st_place_kind
{
  ST_PLACED,
  ST_PLACED_PROBE,
  ST_PLACE_NO_SERVER, /* none is known, or all are leaving */
  ST_PLACE_FULL,      /* no usable slot, connection or link share */
  ST_PLACE_EJECTED,   /* every server is ejected */
  ST_PLACE_TRIED,     /* every server left was tried before */
  ST_PLACE_BUSY,      /* a suspect request finds no idle server */
};

/* Why candidates were passed over.  */
enum st_skip
{
  ST_SKIP_NONE,  /* not passed over */
  ST_SKIP_OTHER, /* not the one server that the request may use */
  ST_SKIP_LEAVING,
  ST_SKIP_TRIED,
  ST_SKIP_EJECTED,
  ST_SKIP_BUSY,
  ST_SKIP_FULL,
  ST_SKIP_RAMP,
  ST_SKIPS,
};

struct st_placement
{
  enum st_place_kind kind;
  union
  {
    struct
    {
      size_t index; /* in the array of candidates */
      uint64_t server;
      enum st_tier tier;
      double score;
      double other; /* score of the second server; below 0: none */
      uint32_t own, slots;
      bool past_ramp;
    } chosen;
    uint32_t skipped[ST_SKIPS];
  } u;
};

struct st_placement st_place (const struct st_candidate *c, size_t n,
                              const struct st_place_request *r,
                              struct zp_rng *rng);

/* The score of one candidate, lower is better.  */
double st_place_score (const struct st_candidate *c);

/* Appends the reason as text for the log line of the decision.  */
void st_placement_text (const struct st_placement *p, struct zp_buf *out);

#endif
