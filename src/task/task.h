/* NAME
     task - event loops, and tasks that get messages in a mailbox

   DESCRIPTION
     A struct tk_loop is a libev loop and the thread that runs it.  A struct
     tk_task belongs to one loop, owns its sockets and its state, and handles
     one message at a time on the thread of its loop.  tk_send may be called
     from any thread; messages from one sender to one task arrive in order.

     A loop sleeps until a socket, a timer or a mailbox has work.  Work that
     blocks, such as the sync of a file, belongs to a task on a loop of its
     own.  */

#ifndef ZP_TASK_TASK_H
#define ZP_TASK_TASK_H

#include <ev.h>
#include <pthread.h>

#include "task/msg.h"

struct tk_loop
{
  struct ev_loop *ev;
  pthread_t thread;
  ev_async stop; /* ends the loop */
};

/* Owns M and has to free it.  SELF is the pointer given to tk_task_init.  */
typedef void tk_handler (void *self, struct tk_msg *m);

struct tk_task
{
  struct tk_loop *loop;
  tk_handler *handler;
  void *self;
  ev_async wake;        /* sent when a message comes into the empty mailbox */
  pthread_mutex_t lock; /* protects HEAD and TAIL */
  struct tk_msg *head, *tail; /* mailbox */
};

void tk_loop_init (struct tk_loop *l);

/* Run L until tk_loop_stop: tk_loop_run on the calling thread, tk_loop_start
   on a new one.  */
void tk_loop_run (struct tk_loop *l);
void tk_loop_start (struct tk_loop *l);

/* Makes the loop end.  May be called from any thread.  */
void tk_loop_stop (struct tk_loop *l);

/* Waits for the thread of tk_loop_start to end.  */
void tk_loop_join (struct tk_loop *l);

void tk_loop_free (struct tk_loop *l);

/* Called before the loop runs, or on its thread.  */
void tk_task_init (struct tk_task *t, struct tk_loop *l, tk_handler *handler,
                   void *self);

/* Frees the messages that are still in the mailbox.  */
void tk_task_free (struct tk_task *t);

/* Puts M into the mailbox of TO, which owns it from then on.  */
void tk_send (struct tk_task *to, struct tk_msg *m);

#endif
