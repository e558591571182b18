/* NAME
     client - requests of zpctl to the control daemons

   DESCRIPTION
     Sends a request to the first server that answers.  A redirect to the
     leader is followed.  When a server cannot be reached or says that no
     leader can take requests now, the next one is tried, and after the last
     the first again, until the time is over.  Every request of an operator may
     be sent again: tickets are told apart by their digest.

   RETURN VALUE
     zc_send returns false with ERR filled (ZP_EUNAVAIL) when no server gave an
     answer in time.  */

#ifndef ZP_CTL_CLIENT_H
#define ZP_CTL_CLIENT_H

#include "base/clock.h"
#include "base/err.h"
#include "base/settings.h"

struct zc_client
{
  struct zp_strs servers; /* "IP:port" */
  zp_time limit;          /* for one request, all tries together */
};

struct zc_request
{
  const char *method;
  struct zp_str target; /* path and query */
  struct zp_str body;
};

struct zc_answer
{
  long status;
  struct zp_buf body;
};

bool zc_send (const struct zc_client *c, const struct zc_request *r,
              struct zc_answer *out, struct zp_err *err);

/* One try at one server, which takes at most LIMIT.  */
bool zc_send_to (struct zp_str server, const struct zc_request *r,
                 zp_time limit, struct zc_answer *out, struct zp_err *err);

void zc_pause (zp_time t);

#endif
