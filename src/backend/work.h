/* NAME
     work - the requests that run on one stand-in server

   DESCRIPTION
     A struct be_work holds the requests that occupy a slot.  on_end is called
     for each one that ends by itself.

     be_work_record writes one line "WHAT KEY DIGEST TIME SERVER" of the
     append-only record at once, so that it outlives the process.  WHAT is
     "ran" (began to run), "over" (came while every slot was busy), "late"
     (came more than 2 s after an entry VM knew that the server is leaving) or
     "crash".  */

#ifndef ZP_BACKEND_WORK_H
#define ZP_BACKEND_WORK_H

#include <ev.h>
#include <gsl/gsl_rng.h>

#include "backend/settings.h"
#include "base/clock.h"
#include "base/limits.h"

struct be_run
{
  struct be_run *next, *prev;
  struct be_work *work;
  uint64_t id;
  ev_timer end;
  bool expires; /* the deadline comes before the end of the work */
  struct zp_buf key;
  uint64_t digest;
};

struct be_work
{
  struct ev_loop *ev;
  const struct be_settings *settings;
  char server[ZP_NAME_MAX];
  int record_fd; /* file descriptor */
  gsl_rng *rng;
  struct be_run runs; /* list head */
  int64_t running;
  int64_t slow_percent;
  bool silent; /* requests end only at their deadline */
  void (*on_end) (void *self, const struct be_run *r);
  void *self;
};

void be_work_record (const struct be_work *w, const char *event,
                     struct zp_str key, uint64_t digest);

/* Takes a free slot of a server that came up AGE ago, at most for LEFT; LEFT
   0: no deadline.  */
void be_work_start (struct be_work *w, uint64_t id, struct zp_str key,
                    uint64_t digest, zp_time age, zp_time left);

/* Frees the slot of a request whose caller has left, or every slot.  */
void be_work_cancel (struct be_work *w, uint64_t id);
void be_work_cancel_all (struct be_work *w);

#endif
