#include "task/task.h"

#include <stdlib.h>

/* Loops.  */

static void
on_stop (struct ev_loop *ev, ev_async *w, int events)
{
  (void) w;
  (void) events;
  ev_break (ev, EVBREAK_ALL);
}

void
tk_loop_init (struct tk_loop *l)
{
  l->ev = ev_loop_new (EVFLAG_AUTO);
  if (!l->ev)
    abort ();
  ev_async_init (&l->stop, on_stop);
  ev_async_start (l->ev, &l->stop);
}

void
tk_loop_run (struct tk_loop *l)
{
  ev_run (l->ev, 0);
}

static void *
thread_main (void *arg)
{
  tk_loop_run (arg);
  return NULL;
}

void
tk_loop_start (struct tk_loop *l)
{
  if (pthread_create (&l->thread, NULL, thread_main, l) != 0)
    abort ();
}

void
tk_loop_stop (struct tk_loop *l)
{
  ev_async_send (l->ev, &l->stop);
}

void
tk_loop_join (struct tk_loop *l)
{
  pthread_join (l->thread, NULL);
}

void
tk_loop_free (struct tk_loop *l)
{
  ev_async_stop (l->ev, &l->stop);
  ev_loop_destroy (l->ev);
}

/* Tasks.  */

static struct tk_msg *
take_all (struct tk_task *t)
{
  pthread_mutex_lock (&t->lock);
  struct tk_msg *m = t->head;
  t->head = NULL;
  t->tail = NULL;
  pthread_mutex_unlock (&t->lock);
  return m;
}

/* Handles the messages that are in the mailbox now.  Later ones wait for the
   next turn of the loop.  */
static void
on_wake (struct ev_loop *ev, ev_async *w, int events)
{
  struct tk_task *t = w->data;

  (void) ev;
  (void) events;
  for (struct tk_msg *m = take_all (t); m;)
    {
      struct tk_msg *next = m->next;
      m->next = NULL;
      t->handler (t->self, m);
      m = next;
    }
}

void
tk_task_init (struct tk_task *t, struct tk_loop *l, tk_handler *handler,
              void *self)
{
  *t = (struct tk_task){ .loop = l, .handler = handler, .self = self };
  pthread_mutex_init (&t->lock, NULL);
  ev_async_init (&t->wake, on_wake);
  t->wake.data = t;
  ev_async_start (l->ev, &t->wake);
}

void
tk_task_free (struct tk_task *t)
{
  ev_async_stop (t->loop->ev, &t->wake);
  for (struct tk_msg *m = take_all (t); m;)
    {
      struct tk_msg *next = m->next;
      tk_msg_free (m);
      m = next;
    }
  pthread_mutex_destroy (&t->lock);
}

void
tk_send (struct tk_task *to, struct tk_msg *m)
{
  m->next = NULL;
  pthread_mutex_lock (&to->lock);
  bool first = !to->head;
  if (first)
    to->head = m;
  else
    to->tail->next = m;
  to->tail = m;
  pthread_mutex_unlock (&to->lock);
  if (first)
    ev_async_send (to->loop->ev, &to->wake);
}
