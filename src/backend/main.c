#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "backend/server.h"
#include "base/arguments.h"
#include "base/log.h"
#include "base/process.h"

#define PART "main"
#define STOP_REPEAT 0.5 /* seconds; a server that crashes drops TK_STOP */

struct program
{
  struct tk_loop loop;
  struct tk_task task; /* gets TK_STOP from each server that has stopped */
  struct be_settings settings;
  struct zp_arguments arguments;
  struct be_server *servers[BE_SERVERS_MAX];
  size_t open, running; /* servers */
  ev_signal term;
  ev_timer repeat; /* sends TK_STOP to the servers, after SIGTERM */
};

static void
on_message (void *self, struct tk_msg *m)
{
  struct program *p = self;

  if (m->kind == TK_STOP && --p->running == 0)
    tk_loop_stop (&p->loop);
  tk_msg_free (m);
}

static void
on_repeat (struct ev_loop *ev, ev_timer *w, int events)
{
  struct program *p = w->data;

  (void) ev, (void) events;
  for (size_t i = 0; i < p->open; i++)
    tk_send (be_server_task (p->servers[i]), tk_msg_new (TK_STOP));
}

static void
on_signal (struct ev_loop *ev, ev_signal *w, int events)
{
  struct program *p = w->data;

  (void) events;
  ev_timer_start (ev, &p->repeat);
}

static bool
open_servers (struct program *p, int record_fd, struct zp_err *err)
{
  for (size_t i = 0; i < p->settings.addresses.len; i++)
    {
      p->servers[i] = be_server_open (&p->loop, &p->settings, i, record_fd,
                                      &p->task, err);
      if (!p->servers[i])
        return false;
      p->open++;
    }
  p->running = p->open;
  return true;
}

static bool
run (struct program *p, struct zp_err *err)
{
  struct zp_buf name = zp_buf_from (p->settings.records);
  int record_fd
      = open (name.ptr, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);

  zp_buf_free (&name);
  if (record_fd < 0)
    return zp_fail (err, ZP_EIO,
                    "cannot open the file that \"records\" names");
  tk_loop_init (&p->loop);
  tk_task_init (&p->task, &p->loop, on_message, p);
  ev_timer_init (&p->repeat, on_repeat, 0.0, STOP_REPEAT);
  ev_signal_init (&p->term, on_signal, SIGTERM);
  p->repeat.data = p;
  p->term.data = p;
  ev_signal_start (p->loop.ev, &p->term);
  bool ok = open_servers (p, record_fd, err);
  if (ok)
    tk_loop_run (&p->loop);
  while (p->open > 0)
    be_server_close (p->servers[--p->open]);
  ev_timer_stop (p->loop.ev, &p->repeat);
  ev_signal_stop (p->loop.ev, &p->term);
  tk_task_free (&p->task);
  tk_loop_free (&p->loop);
  close (record_fd);
  return ok;
}

int
main (int argc, char **argv)
{
  struct program *p = zp_alloc (sizeof *p);
  struct zp_report report = { .count = 0 };
  struct zp_err err;

  zp_process_forbid_cores ();
  zp_arguments_parse (argc, argv,
                      "Stub for the backend servers of one service", false,
                      &p->arguments);
  signal (SIGPIPE, SIG_IGN);
  bool ok = be_settings_load (&p->settings, p->arguments.path, &report);
  fprintf (stderr, "%.*s", ZP_ARG (zp_str_of (&report.lines)));
  zp_log_open ("zp-backend",
               p->arguments.verbose
                   ? ZP_LOG_DEBUG
                   : (enum zp_log_level) p->settings.log_level,
               STDOUT_FILENO);
  if (ok && !p->arguments.check && !(ok = run (p, &err)))
    zp_log (ZP_LOG_ERR, PART, "%s", err.text);
  zp_report_free (&report);
  zp_settings_free (&p->settings.loaded);
  free (p);
  return ok ? 0 : 1;
}
