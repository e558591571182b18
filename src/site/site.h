/* NAME
     site - routes and services, by which callers' requests are steered

   SYNOPSIS
     struct si_site *s = si_site_new (number);
     si_site_add_service (s, &service);
     si_site_add_route (s, &route);
     if (si_site_seal (s, &err))
       r = si_site_route (s, host, path);

   DESCRIPTION
     The typed form of one routed configuration, independent of its encoding:
     the decoder of an interface fills it.  A site is immutable once
     si_site_seal has checked and sorted it.

     The route of a request has its host, and of those routes the longest
     prefix that the path begins with.  A route leads to one service, or splits
     its requests among several by weight.

     A site with workspaces serves a request only with a key of one of them,
     unless the route of the request is public.

   ERRORS
     si_site_seal fails when a route has no host, a prefix that does not begin
     with "/", no service, an unknown service, or only weights of 0, when two
     routes have the same host and prefix, and when two services have the same
     name.  It also fails when a workspace has no name, a control character in
     its name (which is sent as a header), a space at the begin or end of its
     name, or a limit that is negative or not
     finite, and when two workspaces have the same name or the same key.  The
     errors never quote a key.  */

#ifndef ZP_SITE_SITE_H
#define ZP_SITE_SITE_H

#include "base/clock.h"
#include "base/err.h"
#include "site/keys.h"

enum si_class
{
  SI_IDEMPOTENT, /* may run more than once */
  SI_ONCE,       /* runs at most once for each request id */
};

/* A service to which a route sends a part of its requests.  */
struct si_part
{
  struct zp_buf service;
  unsigned weight;
  size_t index; /* in si_site.service; set by si_site_seal */
};

struct si_route
{
  struct zp_buf name, host, prefix;
  enum si_class class;
  zp_time timeout;   /* longest wait of a caller for the answer; 0: none */
  zp_time objective; /* latency objective; 0: none */
  unsigned priority; /* 0 is the most urgent */
  unsigned attempts; /* most servers that one request may be sent to */
  bool sticky;       /* one server is faster for requests on the same object */
  bool is_public;    /* needs no key, also when the site has workspaces */
  struct si_part *part;
  size_t parts;
  struct zp_buf *home; /* regions that may serve it; none: all */
  size_t homes;
};

struct si_service
{
  struct zp_buf name, health_path;
  unsigned connections; /* most that one server accepts, from all daemons */
  zp_time warmup;       /* how long a new server is cold */
  double warmup_per_s;  /* requests per second that a cold server tolerates */
};

/* The workspace of callers with the same rights.  Its keys are in
   si_site.keys.  */
struct si_workspace
{
  struct zp_buf name;
  uint64_t hash; /* of the name; set by si_site_seal */
  bool has_priority;
  unsigned priority;   /* replaces that of the route */
  double rate_per_s;   /* limit of its requests; 0: none */
  double burst;        /* requests beyond the rate */
  struct zp_buf *home; /* regions that may serve it; none: all */
  size_t homes;
};

/* Limits on what callers send; 0: not set.  */
struct si_limits
{
  uint64_t head_max, body_max; /* bytes of a request */
  zp_time head_timeout;        /* until the head of a request is sent */
  zp_time idle_timeout;        /* of a caller's connection */
};

struct si_site
{
  uint64_t number; /* of the configuration */
  struct si_route *route;
  size_t routes;
  struct si_service *service;
  size_t services;
  struct si_limits limits;
  struct si_workspace *workspace;
  size_t workspaces;
  struct si_keys keys; /* to indexes in WORKSPACE */
  bool needs_key;      /* requests need a key, unless their route is public */
};

struct si_site *si_site_new (uint64_t number);

/* Both take ownership of what the argument holds.  */
void si_site_add_service (struct si_site *s, const struct si_service *service);
void si_site_add_route (struct si_site *s, const struct si_route *route);
void si_route_add_part (struct si_route *r, struct zp_str service,
                        unsigned weight);
void si_route_add_home (struct si_route *r, struct zp_str region);

/* Releases what R holds, not R.  */
void si_route_clear (struct si_route *r);

/* Takes ownership of what the argument holds.  */
void si_site_add_workspace (struct si_site *s,
                            const struct si_workspace *workspace);

/* Adds a key of the workspace that was added last.  */
void si_site_add_key (struct si_site *s, struct zp_str key);
void si_workspace_add_home (struct si_workspace *w, struct zp_str region);

/* Releases what W holds, not W.  */
void si_workspace_clear (struct si_workspace *w);

/* Checks the site, sorts its routes and looks up their services.  */
bool si_site_seal (struct si_site *s, struct zp_err *err);
void si_site_free (struct si_site *s);

/* The route of a request, or NULL.  A port in HOST is ignored.  */
const struct si_route *si_site_route (const struct si_site *s,
                                      struct zp_str host, struct zp_str path);

/* The workspace that has KEY, or NULL.  */
const struct si_workspace *si_site_workspace (const struct si_site *s,
                                              struct zp_str key);

/* The service NAME, or NULL.  */
const struct si_service *si_site_service (const struct si_site *s,
                                          struct zp_str name);

#endif
