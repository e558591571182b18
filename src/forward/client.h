/* NAME
     client - requests to backend servers

   DESCRIPTION
     The forward task owns the connections to backend servers.  It answers each
     TK_FORWARD with exactly one TK_FORWARD_DONE of the same id, also after
     TK_FORWARD_CANCEL and at the deadline.  Cancelling closes the connection.

     The verdict is ZP_NOT_RUN only in these cases:
     - no byte of the request was handed to a connection;
     - the backend server answered 503 with "Run-Verdict: not-run";
     - its answer has the not_run header of struct fr_header_names;
     - it answered 421 to a request that names the server that may run it.

     A request is sent at most once.  When a reused connection turns out to be
     closed, libcurl would send the request again on a new one; the forward
     task aborts the transfer instead.

     A connection whose answer was not read to its end is closed, never reused.
     An answer that is not the answer to the request (answer.h) is dropped, and
     its connection is closed.

     A server can send bytes without end.  An answer ends as lost when its head
     exceeds FW_HEAD_MAX or its body ZP_ANSWER_BODY_MAX, and while all bodies
     together exceed ZP_ANSWER_BODIES_MAX, the longest one.
 */

#ifndef ZP_FORWARD_CLIENT_H
#define ZP_FORWARD_CLIENT_H

#include "base/err.h"
#include "front/header.h"
#include "task/task.h"

struct fw_client;

/* REPLY_TO gets each TK_FORWARD_DONE.  The header names are those of
   zinniapost's native interface.  Never returns NULL.  */
struct fw_client *fw_client_open (struct tk_loop *l, struct tk_task *reply_to);

/* The same with other header names, which must outlive the client.  */
struct fw_client *fw_client_open_with (struct tk_loop *l,
                                       struct tk_task *reply_to,
                                       const struct fr_header_names *names);

/* The task to which TK_FORWARD and TK_FORWARD_CANCEL are sent.  */
struct tk_task *fw_client_task (struct fw_client *c);

/* Closes all connections; requests in progress get no TK_FORWARD_DONE.  C may
   be NULL.  */
void fw_client_close (struct fw_client *c);

#endif
