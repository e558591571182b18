#include "control/program.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/arguments.h"
#include "base/log.h"
#include "control/control.h"

#define PART "main"

static const char doc[]
    = "Control daemon of zinniapost: keeps the replicated log of change "
      "tickets and takes operators' requests.\v"
      "Exit status: 0 after a graceful shutdown (SIGTERM or SIGINT) or when "
      "the settings are valid, 1 after a failure, 64 for wrong usage.";

static void
on_signal (struct ev_loop *ev, ev_signal *w, int events)
{
  (void) ev;
  (void) events;
  tk_send (w->data, tk_msg_new (TK_STOP));
}

static int
run (struct ct_settings *settings, const struct ct_interface *interface)
{
  struct tk_loop loop;
  struct zp_err err = { .text = "" };
  ev_signal term, interrupt;

  /* A connection that the other side closed is an error of its write.  */
  signal (SIGPIPE, SIG_IGN);
  tk_loop_init (&loop);
  struct ct_control *c = NULL;
  if (ct_settings_identify (settings, &err))
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
  zp_log (ZP_LOG_NOTICE, PART,
          "member %lld listens on %.*s, operators on %.*s",
          (long long) settings->id, ZP_ARG (settings->address),
          ZP_ARG (settings->http));
  tk_loop_run (&loop);
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

  zp_arguments_parse (argc, argv, doc, false, &o);
  zp_log_open (name, o.verbose ? ZP_LOG_DEBUG : ZP_LOG_INFO);
  bool ok = ct_settings_load (&settings, o.path, &report);
  if (!ok)
    fputs (report.lines.ptr, stderr);
  else if (o.check)
    {
      printf ("%s: valid\n", o.path);
      status = EXIT_SUCCESS;
    }
  else
    status = run (&settings, interface);
  ct_settings_free (&settings);
  zp_report_free (&report);
  return status;
}
