/* NAME
     settings - settings of zp-entry

   DESCRIPTION
     docs/operators/settings.md describes each key.  */

#ifndef ZP_ENTRY_SETTINGS_H
#define ZP_ENTRY_SETTINGS_H

#include "base/settings.h"

struct en_settings
{
  struct zp_settings file; /* owns the texts */
  int64_t id;
  struct zp_str failure_domain;
  struct zp_str region;
  struct zp_str http;
  struct zp_str wire;
  struct zp_str wire_listen; /* empty: listens at WIRE */
  struct zp_str relay;       /* listens for followers; empty: no relay */
  struct zp_strs seeds;
  struct zp_strs follow;
  struct zp_str data; /* folder; empty: the configuration is not stored */
  int64_t log_level;
};

/* Reads the file at PATH.  Adds every mistake to REPORT; returns true when
   there is none.  S is freed with en_settings_free in either case.  */
bool en_settings_load (struct en_settings *s, const char *path,
                       struct zp_report *report);
void en_settings_free (struct en_settings *s);

#endif
