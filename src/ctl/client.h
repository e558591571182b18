/* NAME
     client - requests of zpctl to the control daemons

   DESCRIPTION
     zc_send tries the servers in order and follows a redirect to the leader.
     It returns the first answer whose status is not 503.  After a failed
     connection, an answer that is cut, has neither a length nor chunks or was
     completed by another answer, a timeout or status 503 (no leader accepts requests) it tries the next
     server.  After the last server it starts again with the first,
     until the time limit of the client is reached.

     A request may therefore arrive more than once.  That is safe: tickets are
     identified by their digest, so that each request takes effect once.

   RETURN VALUE
     true when a server answered, with any HTTP status; OUT then holds the
     status and the body, and the caller frees the body.  false when none did.

   ERRORS
     ZP_EUNAVAIL when no server answered in time; the text names the last
     server tried and its error.  With a limit of 0 zc_send tries no server and
     leaves ERR as it was.  */

#ifndef ZP_CTL_CLIENT_H
#define ZP_CTL_CLIENT_H

#include "base/clock.h"
#include "base/err.h"
#include "base/settings.h"

struct zc_client
{
  struct zp_strs servers; /* "IP:port" */
  zp_time limit;          /* for one request, all attempts together */
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

/* Sends R to one server, once, and waits at most LIMIT for the answer.  An
   answer of any status counts, also 503.  */
bool zc_send_to (struct zp_str server, const struct zc_request *r,
                 zp_time limit, struct zc_answer *out, struct zp_err *err);

/* Blocks the calling thread for T.  */
void zc_pause (zp_time t);

#endif
