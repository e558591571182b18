#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/arguments.h"
#include "base/log.h"
#include "base/process.h"
#include "load/run.h"

#define PART "main"
#define SETTLE_MS 300 /* for servers to write the last run records */

struct program
{
  struct lo_settings settings;
  struct lo_results results;
  struct zp_arguments arguments;
};

static void
on_signal (struct ev_loop *ev, ev_signal *w, int events)
{
  (void) ev;
  (void) events;
  tk_send (lo_run_task (w->data), tk_msg_new (TK_STOP));
}

static bool
run (struct program *p, struct zp_err *err)
{
  struct tk_loop loop;
  ev_signal term;
  char name[ZP_NAME_MAX];

  snprintf (name, sizeof name, "%" PRIx64 "p%d", (uint64_t) zp_clock_wall (),
            (int) getpid ());
  lo_results_open (&p->results, &p->settings, name);
  tk_loop_init (&loop);
  struct lo_run *r = lo_run_open (&loop, &p->results);
  ev_signal_init (&term, on_signal, SIGTERM);
  term.data = r;
  ev_signal_start (loop.ev, &term);
  tk_loop_run (&loop);
  ev_signal_stop (loop.ev, &term);
  lo_run_close (r);
  tk_loop_free (&loop);
  usleep (SETTLE_MS * 1000);
  bool ok = lo_results_reconcile (&p->results, err);
  if (!lo_results_print (&p->results, p->arguments.json, stdout))
    ok = zp_fail (err, ZP_ECONFLICT,
                  "violations: requests were lost, doubled, wrong or "
                  "falsely answered not-run");
  lo_results_close (&p->results);
  return ok;
}

int
main (int argc, char **argv)
{
  struct program *p = zp_alloc (sizeof *p);
  struct zp_report report = { .count = 0 };
  struct zp_err err;

  zp_process_forbid_cores ();
  zp_arguments_parse (argc, argv, "Load generator that checks every answer",
                      true, &p->arguments);
  signal (SIGPIPE, SIG_IGN);
  bool ok = lo_settings_load (&p->settings, p->arguments.path, &report);
  fprintf (stderr, "%.*s", ZP_ARG (zp_str_of (&report.lines)));
  zp_log_open ("zp-load",
               p->arguments.verbose
                   ? ZP_LOG_DEBUG
                   : (enum zp_log_level) p->settings.log_level,
               STDERR_FILENO);
  if (ok && !p->arguments.check && !(ok = run (p, &err)))
    zp_log (ZP_LOG_ERR, PART, "%s", err.text);
  zp_report_free (&report);
  zp_settings_free (&p->settings.loaded);
  free (p);
  return ok ? 0 : 1;
}
