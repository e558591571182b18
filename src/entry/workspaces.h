/* NAME
     workspaces - the workspaces of the configuration in force

   DESCRIPTION
     Pure.  en_workspaces_update reads the workspaces from a plan.  A workspace
     keeps its place and its token bucket for as long as the daemon runs,
     because requests of it may still be in progress after it has left the
     configuration; its keys are refused at once.

     A rate limit is split evenly over the entry daemons of the configuration,
     so that it holds without messages between them.  The bucket of each daemon
     has room for at least one request: with a share below that, a daemon would
     refuse every request.  In a time T all daemons together forward at most
     rate x T + max (burst, rate / 4, number of daemons) requests.  Buckets
     start empty, so that restarts do not add to that.  A daemon that the
     configuration does not list has no share.  */

#ifndef ZP_ENTRY_WORKSPACES_H
#define ZP_ENTRY_WORKSPACES_H

#include "base/counter.h"
#include "entry/plan.h"
#include "quota/bucket.h"
#include "site/keys.h"

struct en_workspace
{
  char name[ZP_NAME_MAX];
  struct ti_optional_int priority;
  struct ti_names home; /* owned */
  bool limited;
  double rate, depth; /* share of this daemon */
  struct qu_bucket bucket;
  struct zp_counter *refused; /* by the limit */
};

struct en_workspaces
{
  bool needs_key; /* the configuration has a workspace */
  struct si_keys keys;
  struct en_workspace **item;
  size_t len;
};

/* ID: of this daemon.  */
void en_workspaces_update (struct en_workspaces *all, const struct en_plan *p,
                           uint64_t id, zp_time now);
void en_workspaces_free (struct en_workspaces *all);

/* The workspace that has KEY, or NULL.  */
struct en_workspace *en_workspaces_find (const struct en_workspaces *all,
                                         struct zp_str key);

/* Whether servers of REGION may serve W; NULL: no workspace.  */
bool en_workspace_allows (const struct en_workspace *w, struct zp_str region);

/* Takes a token for a request.  Returns false when the limit is reached;
   RETRY_AFTER_S is then the time until the next token.  */
bool en_workspace_take (struct en_workspace *w, zp_time now,
                        unsigned *retry_after_s);

/* Gives back the token of a request that was not forwarded.  */
void en_workspace_give_back (struct en_workspace *w);

#endif
