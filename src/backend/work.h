/* NAME
     work - running requests of one stub server, and its run record

   DESCRIPTION
     A struct be_work holds the requests that occupy a slot.  Each takes a
     random service time.  on_end is called when that time or the deadline is
     over, but not after a cancellation.

     be_work_record appends the line "EVENT KEY DIGEST TIME SERVER" to the run
     record.  It writes the line at once, so that the line is kept when the
     process dies.  EVENT is
     - "ran": the request began to run;
     - "over": it arrived while every slot was busy;
     - "late": it arrived more than 2 s after an entry VM had learned that the
       server is leaving;
     - "crash": the server crashed.
     DIGEST is the hash of the body, or 0; TIME is the wall clock in
     microseconds.  */

#ifndef ZP_BACKEND_WORK_H
#define ZP_BACKEND_WORK_H

#include <ev.h>
#include <gsl/gsl_rng.h>

#include "backend/settings.h"
#include "base/clock.h"
#include "base/limits.h"

/* A running request.  */
struct be_run
{
  struct be_run *next, *prev;
  struct be_work *work;
  uint64_t id;
  ev_timer end_timer;
  bool expires; /* its deadline comes before the end of its service time */
  struct zp_buf key;
  uint64_t digest; /* hash of the request body */
};

struct be_work
{
  struct ev_loop *ev;
  const struct be_settings *settings;
  char server[ZP_NAME_MAX];
  int record_fd; /* of the run record */
  gsl_rng *rng;
  struct be_run runs; /* list head */
  int64_t running;
  int64_t slow_percent; /* service time; 100: as in the settings */
  bool silent; /* requests that reach their service time get no answer */
  void (*on_end) (void *self, const struct be_run *r);
  void *self;
};

void be_work_record (const struct be_work *w, const char *event,
                     struct zp_str key, uint64_t digest);

/* Starts a request; there must be a free slot.  AGE is the time since the
   start of the server, LEFT the time to the deadline; 0: no deadline.  */
void be_work_start (struct be_work *w, uint64_t id, struct zp_str key,
                    uint64_t digest, zp_time age, zp_time left);

/* Ends the request ID, if it runs, or all requests, without calling on_end.
 */
void be_work_cancel (struct be_work *w, uint64_t id);
void be_work_cancel_all (struct be_work *w);

#endif
