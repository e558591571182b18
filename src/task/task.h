/* NAME
     task - tasks with a mailbox each, on event loops

   DESCRIPTION
     A struct tk_loop is one libev loop and the thread that runs it.  A struct
     tk_task sits on one loop, owns its sockets and its state, and gets
     messages one at a time, on its loop's thread.  tk_send may be called from
     any thread; messages of one sender to one task arrive in order.

     A loop sleeps until a socket, a timer or a mailbox has work.  Work that
     blocks (file sync) belongs to a task on a loop of its own.  */

#ifndef ZP_TASK_TASK_H
#define ZP_TASK_TASK_H

#include <ev.h>
#include <pthread.h>

#include "task/msg.h"

struct tk_loop
{
  struct ev_loop *ev;
  pthread_t thread;
  ev_async stop;
};

/* Takes over M.  SELF is the pointer given to tk_task_init.  */
typedef void tk_handler (void *self, struct tk_msg *m);

struct tk_task
{
  struct tk_loop *loop;
  tk_handler *handler;
  void *self;
  ev_async wake;
  pthread_mutex_t lock; /* guards head, tail */
  struct tk_msg *head, *tail;
};

void tk_loop_init (struct tk_loop *l);

/* Runs L on the calling thread, or on a new one, until tk_loop_stop.  */
void tk_loop_run (struct tk_loop *l);
void tk_loop_start (struct tk_loop *l);

/* May be called from any thread.  */
void tk_loop_stop (struct tk_loop *l);

/* Waits for the thread of tk_loop_start.  */
void tk_loop_join (struct tk_loop *l);
void tk_loop_free (struct tk_loop *l);

/* Tasks are set up before their loop runs, or on its thread.  */
void tk_task_init (struct tk_task *t, struct tk_loop *l, tk_handler *handler,
                   void *self);
void tk_task_free (struct tk_task *t);

/* Takes over M.  */
void tk_send (struct tk_task *to, struct tk_msg *m);

#endif
