/* NAME
     settings - settings of zp-load

   DESCRIPTION
     Each text of "services" is "NAME KEY=NUMBER...", where the keys are fields
     of struct lo_service.  Each text of "callers" is the IP address that one
     group of callers names in its look-ups.  "entries" lists the entry VMs for
     look-ups.  "records" is the folder with the run records of zp-backend.  */

#ifndef ZP_LOAD_SETTINGS_H
#define ZP_LOAD_SETTINGS_H

#include "base/limits.h"
#include "base/settings.h"

#define LO_SERVICES_MAX 8
#define LO_CALLERS_MAX 64
#define LO_TRIES_MAX 16
#define LO_REQUESTS_MAX 2000000

struct lo_service
{
  char name[ZP_NAME_MAX];
  int64_t once;  /* 1: at most once, with idempotency keys; 0: idempotent */
  int64_t rate;  /* mean of Poisson arrivals per second */
  int64_t burst; /* additional requests in each burst */
  int64_t burst_every_ms; /* interval between bursts */
  int64_t burst_ms;       /* duration of a burst */
  int64_t deadline_ms;    /* of a request, from its arrival */
  int64_t patience_ms;    /* timeout of one send; 0: the deadline */
  int64_t tries;          /* most sends of a request */
  int64_t body_bytes;     /* size of the padding in the body; above 0: POST */
  int64_t crash_ms; /* above 0: equal requests that crash servers so long */
};

struct lo_settings
{
  struct zp_settings loaded;
  struct zp_strs entries, callers, services;
  struct zp_str records;
  int64_t duration_ms, seed, log_level;
  struct lo_service service[LO_SERVICES_MAX];
};

/* Adds each fault to REPORT.  Returns whether there is none.  */
bool lo_settings_load (struct lo_settings *s, const char *path,
                       struct zp_report *report);

#endif
