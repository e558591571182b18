/* NAME
     client - requests to backend servers

   DESCRIPTION
     The forward task owns the connections to backend servers.  Each TK_FORWARD
     ends with exactly one TK_FORWARD_DONE of the same id, also after a
     TK_FORWARD_CANCEL or at the deadline; cancelling closes the connection.

     The verdict is ZP_NOT_RUN only when no byte of the request was handed to a
     connection, when the backend server answered 503 with "Run-Verdict:
     not-run" or an answer with the header NOT_RUN of its names, or when it
     answered 421 to a request that names the server that it is meant for.  A
     request is sent at most once: libcurl repeats a request on a new
     connection when a reused one turns out to be dead, and this repetition is
     refused here.

     A connection whose answer was not read to its end is closed, never reused.
     An answer whose Request-Id differs from that of the request is dropped. */

#ifndef ZP_FORWARD_CLIENT_H
#define ZP_FORWARD_CLIENT_H

#include "base/err.h"
#include "front/header.h"
#include "task/task.h"

struct fw_client;

/* REPLY_TO gets TK_FORWARD_DONE.  */
struct fw_client *fw_client_open (struct tk_loop *l, struct tk_task *reply_to);

/* The same with other header names, which have to outlive the client.  */
struct fw_client *fw_client_open_with (struct tk_loop *l,
                                       struct tk_task *reply_to,
                                       const struct fr_header_names *names);
struct tk_task *fw_client_task (struct fw_client *c);
void fw_client_close (struct fw_client *c);

#endif
