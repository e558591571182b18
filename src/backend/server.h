/* NAME
     server - one stand-in backend server

   DESCRIPTION
     A task that owns the listening socket, the requests that run and the
     announcements of one server.  It runs at most SLOTS requests at once and
     answers the others 503 with Run-Verdict: not-run.

     TK_STOP makes it announce that it is leaving, finish its requests and
     close; it then sends TK_STOP to the task given at the start.  TK_STOP has
     to be repeated: one that arrives during a crash may be dropped.  */

#ifndef ZP_BACKEND_SERVER_H
#define ZP_BACKEND_SERVER_H

#include "backend/settings.h"
#include "task/task.h"

struct be_server;

/* Starts server N, from 0.  RECORD is a file descriptor.  */
struct be_server *be_server_open (struct tk_loop *l,
                                  const struct be_settings *settings, size_t n,
                                  int record_fd, struct tk_task *reply_to,
                                  struct zp_err *err);
struct tk_task *be_server_task (struct be_server *s);
void be_server_close (struct be_server *s);

#endif
