/* NAME
     site - the routes and services that callers' requests are steered by

   SYNOPSIS
     struct si_site *s = si_site_new (number);
     si_site_add_service (s, &service);
     si_site_add_route (s, &route);
     if (si_site_seal (s, &err))
       r = si_site_route (s, host, path);

   DESCRIPTION
     The typed form of one routed configuration.  A decoder of an interface
     fills it; nothing here knows how it was written.  A site is immutable once
     it is sealed.

     A request belongs to the routes of its host, of which the one with the
     longest prefix that begins the path is selected.  A route leads to one
     service or is split among several by weights.

   ERRORS
     si_site_seal fails when a route has no host, a prefix that does not begin
     with "/", no service, an unknown service, or only weights of 0, and when
     two routes share host and prefix.  */

#ifndef ZP_SITE_SITE_H
#define ZP_SITE_SITE_H

#include "base/clock.h"
#include "base/err.h"

enum si_class
{
  SI_IDEMPOTENT, /* may run more than once */
  SI_ONCE,       /* runs at most once for each request id */
};

/* One share of a route.  */
struct si_part
{
  struct zp_buf service;
  unsigned weight;
  size_t index; /* of the service; set by si_site_seal */
};

struct si_route
{
  struct zp_buf name, host, prefix;
  enum si_class class;
  zp_time timeout;   /* longest time that a caller is kept waiting; 0: none */
  zp_time objective; /* latency objective; 0: none */
  unsigned priority; /* 0 is the most urgent */
  unsigned attempts; /* most servers that one request may be sent to */
  bool sticky;       /* requests on one object work faster on one server */
  struct si_part *part;
  size_t parts;
  struct zp_buf *home; /* regions it may be served in; none: all */
  size_t homes;
};

struct si_service
{
  struct zp_buf name, health_path;
  unsigned connections; /* a server accepts this many from all together */
  zp_time warmup;       /* how long a new server is cold */
  double warmup_per_s;  /* requests a second that a cold server tolerates */
};

struct si_site
{
  uint64_t number;
  struct si_route *route;
  size_t routes;
  struct si_service *service;
  size_t services;
  zp_time idle_timeout; /* a caller may stay idle this long; 0: not stated */
};

struct si_site *si_site_new (uint64_t number);

/* Each takes over what its argument holds.  */
void si_site_add_service (struct si_site *s, const struct si_service *service);
void si_site_add_route (struct si_site *s, const struct si_route *route);
void si_route_add_part (struct si_route *r, struct zp_str service,
                        unsigned weight);
void si_route_add_home (struct si_route *r, struct zp_str region);
void si_route_clear (struct si_route *r);

/* Checks and sorts.  */
bool si_site_seal (struct si_site *s, struct zp_err *err);
void si_site_free (struct si_site *s);

/* The route of a request, or NULL.  HOST may have a port.  */
const struct si_route *si_site_route (const struct si_site *s,
                                      struct zp_str host, struct zp_str path);

/* The service, or NULL.  */
const struct si_service *si_site_service (const struct si_site *s,
                                          struct zp_str name);

#endif
