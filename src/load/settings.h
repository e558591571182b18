/* NAME
     settings - the scenario of zp-load

   DESCRIPTION
     Every text of "services" is "NAME KEY=NUMBER..." with the fields of struct
     lo_service as keys.  Every text of "callers" is the IP address that one
     group of callers gives in its look-ups.  "records" is the folder with the
     run records of zp-backend.  */

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
  int64_t once; /* 1: at most once, with idempotency keys */
  int64_t rate; /* Poisson arrivals a second */
  int64_t burst, burst_every_ms, burst_ms; /* extra arrivals at once */
  int64_t deadline_ms;
  int64_t patience_ms; /* wait for one send, then resend; 0: deadline */
  int64_t tries;
  int64_t body_bytes; /* above 0: POST */
  int64_t crash_ms;   /* above 0: crashes servers, always with the same body */
};

struct lo_settings
{
  struct zp_settings loaded;
  struct zp_strs entries, callers, services;
  struct zp_str records;
  int64_t duration_ms, seed, log_level;
  struct lo_service service[LO_SERVICES_MAX];
};

bool lo_settings_load (struct lo_settings *s, const char *path,
                       struct zp_report *report);

#endif
