/* NAME
     place - chooses the backend server for one request, with leased slots

   SYNOPSIS
     p = st_place (candidates, n, &request, rng);
     st_placement_text (&p, &line);

   DESCRIPTION
     A candidate is this daemon's view of one backend server.  The tiers are
     tried in order: servers of the same failure domain, then those of the
     region, then those of the nearest other region.  Inside a tier two servers
     are picked at random and the one with the lower score is taken, so that
     daemons with equal views do not all choose the same server.

     The score is the expected share of the server's slots in use with this
     request added.  It counts our own requests in flight, and the requests of
     other daemons as the server's last report shows them.  The weight of a
     report halves with each second of its age.  Our own counts take precedence
     over a report: requests that it does not show are still counted, and it
     never adds more than the slots that are not ours, because the owner's
     leases keep other daemons out of ours.

     A server in slow start gets only the share of its slots given by its ramp,
     so that a new server with nothing in flight does not attract all requests.
     Its capacity in the score is reduced by the same factor.  When no tier has
     a server within its ramp, the ramp is ignored, because otherwise slots
     would stay idle while requests wait.  A cold cache counts as half a
     request more.

     A server that is due for a probe gets one request when its tier is the
     best one.  A retry or a suspect request is never used as a probe.  A
     suspect request (see steer/poison.h) goes only to a server that runs no
     other request of ours.

   RETURN VALUE
     A tagged value.  When no server is found, it counts the candidates passed
     over for each reason; its kind is the reason that is likely to end
     first.  */

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
  ST_REPORT_LOAD,     /* share of the server's slots in use, 0 to 1 */
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
  uint32_t slots;    /* those of them that are ours: owned or leased */
  uint32_t own;      /* our requests in flight there */
  double ramp;       /* slow start, above 0 to 1; from st_health_ramp */
  struct st_load_report report;
  enum st_health_kind health; /* from st_health_state */
  bool cold;                  /* the server's cache is cold */
  bool leaving;
  bool tried;    /* an earlier attempt of this request went there */
  bool reserved; /* a suspect request runs alone there */
  bool blocked;  /* no connection, or no share of the link, is free */
};

struct st_place_request
{
  bool alone; /* a suspect request */
  bool retry;
  uint64_t only; /* the one server to use (see steer/poison.h); 0: any */
};

enum st_place_kind
{
  ST_PLACED,
  ST_PLACED_PROBE,
  ST_PLACE_NO_SERVER, /* no candidate, or all are leaving */
  ST_PLACE_FULL,      /* no free slot, connection or link share */
  ST_PLACE_EJECTED,   /* every server is ejected */
  ST_PLACE_TRIED,     /* every remaining server was tried before */
  ST_PLACE_BUSY,      /* no idle server for a suspect request */
};

/* Why a candidate was passed over.  */
enum st_skip
{
  ST_SKIP_NONE,  /* not passed over */
  ST_SKIP_OTHER, /* the request may use only another server */
  ST_SKIP_LEAVING,
  ST_SKIP_TRIED,
  ST_SKIP_EJECTED,
  ST_SKIP_BUSY, /* not idle, for a suspect request */
  ST_SKIP_FULL,
  ST_SKIP_RAMP, /* slow start */
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
      double other; /* score of the second server picked; below 0: none */
      uint32_t own, slots; /* of the server, before this request */
      bool past_ramp;      /* the ramp was ignored */
    } chosen;
    uint32_t skipped[ST_SKIPS]; /* candidates for each reason */
  } u;
};

struct st_placement st_place (const struct st_candidate *c, size_t n,
                              const struct st_place_request *r,
                              struct zp_rng *rng);

/* The score of one candidate; lower is better.  */
double st_place_score (const struct st_candidate *c);

/* Appends the decision and its reason as text for a log line.  */
void st_placement_text (const struct st_placement *p, struct zp_buf *out);

#endif
