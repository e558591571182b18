#include "control/program.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/arguments.h"
#include "base/log.h"
#include "base/process.h"
#include "control/control.h"
#include "roster/seeds.h"
#include "task/signals.h"
#include "task/watch.h"

#define PART "main"

static const char doc[]
    = "Control daemon of zinniapost: keeps the replicated log of change "
      "tickets and takes operators' requests.\v"
      "Exit status: 0 after a graceful shutdown (SIGTERM or SIGINT) or when "
      "the settings are valid, 1 after a failure, 64 for wrong usage.";

/* The argument of on_changed.  */
struct reload
{
  struct ct_control *control;
  const char *path;
};

/* Reloads the settings after the file has changed.  Only the seeds can change
   while the daemon runs.  A file with errors changes nothing.  */
static void
on_changed (void *self)
{
  const struct reload *r = self;
  struct ct_settings now;
  struct zp_report report = { .count = 0 };

  if (ct_settings_load (&now, r->path, &report))
    {
      zp_log (ZP_LOG_NOTICE, PART, "settings were read again: %zu seeds",
              now.seeds.len);
      ro_send_seeds (ct_control_task (r->control), &now.seeds);
    }
  else
    zp_log (ZP_LOG_ERR, PART, "settings stay as they were: %.*s",
            ZP_ARG (zp_str_of (&report.lines)));
  ct_settings_free (&now);
  zp_report_free (&report);
}

static void
on_signal (struct ev_loop *ev, ev_signal *w, int events)
{
  (void) ev;
  (void) events;
  tk_send (w->data, tk_msg_new (TK_STOP));
}

static int
run (struct ct_settings *settings, const char *path,
     const struct ct_interface *interface)
{
  struct tk_loop loop;
  struct zp_err err = { .text = "" };
  ev_signal term, interrupt;

  /* Writes to a connection that the peer has closed then fail with EPIPE.  */
  signal (SIGPIPE, SIG_IGN);
  tk_loop_init (&loop);
  struct ct_control *c = NULL;
  if (ct_settings_load_identity (settings, &err))
    c = ct_control_open (&loop, settings, interface, &err);
  if (!c)
    {
      zp_log (ZP_LOG_ERR, PART, "cannot start: %s", err.text);
      tk_loop_free (&loop);
      return EXIT_FAILURE;
    }
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_init (&interrupt, on_signal, SIGINT);
  term.data = ct_control_task (c);
  interrupt.data = ct_control_task (c);
  ev_signal_start (loop.ev, &term);
  ev_signal_start (loop.ev, &interrupt);
  struct reload reload = { .control = c, .path = path };
  struct tk_watch watch;
  tk_watch_start (&watch, loop.ev, path, on_changed, &reload);
  tk_signals_release ();
  zp_log (ZP_LOG_NOTICE, PART,
          "member %lld listens on %.*s, operators on %.*s",
          (long long) settings->id, ZP_ARG (settings->address),
          ZP_ARG (settings->http));
  tk_loop_run (&loop);
  tk_signals_hold ();
  tk_watch_stop (&watch);
  ev_signal_stop (loop.ev, &term);
  ev_signal_stop (loop.ev, &interrupt);
  ct_control_close (c);
  tk_loop_free (&loop);
  return EXIT_SUCCESS;
}

int
ct_program_main (int argc, char **argv, const char *name,
                 const struct ct_interface *interface)
{
  struct zp_arguments o;
  struct zp_report report = { .count = 0 };
  struct ct_settings settings;
  int status = EXIT_FAILURE;

  zp_process_forbid_cores ();
  tk_signals_hold ();
  zp_arguments_parse (argc, argv, doc, false, &o);
  zp_log_open (name, o.verbose ? ZP_LOG_DEBUG : ZP_LOG_INFO, STDOUT_FILENO);
  bool ok = ct_settings_load (&settings, o.path, &report);
  if (!ok)
    fputs (report.lines.ptr, stderr);
  else if (o.check)
    {
      printf ("%s: valid\n", o.path);
      status = EXIT_SUCCESS;
    }
  else
    status = run (&settings, o.path, interface);
  ct_settings_free (&settings);
  zp_report_free (&report);
  return status;
}
