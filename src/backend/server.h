/* NAME
     server - one stub backend server

   DESCRIPTION
     A task that owns the listening socket, the running requests and the
     announcements of one server.  It runs at most as many requests at once as
     the setting "slots" says, and refuses the others with 503 and the header
     Run-Verdict: not-run.

     After TK_STOP it announces that it is leaving, finishes its requests,
     closes its sockets and sends TK_STOP to REPLY_TO.  The sender has to
     repeat TK_STOP, because the server drops its mailbox when it crashes.  */

#ifndef ZP_BACKEND_SERVER_H
#define ZP_BACKEND_SERVER_H

#include "backend/settings.h"
#include "task/task.h"

struct be_server;

/* Starts server number N, from 0, and appends its run record to RECORD_FD.
   SETTINGS must outlive the server.  Returns NULL and sets ERR when the server
   cannot listen on its address.  */
struct be_server *be_server_open (struct tk_loop *l,
                                  const struct be_settings *settings, size_t n,
                                  int record_fd, struct tk_task *reply_to,
                                  struct zp_err *err);
struct tk_task *be_server_task (struct be_server *s);
void be_server_close (struct be_server *s);

#endif
