#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/log.h"
#include "load/run.h"

#define PART "main"
#define SETTLE_MS 300 /* servers may still write the record of a late run */

struct program
{
  struct lo_settings settings;
  struct lo_book book;
  const char *path;
  bool check, json;
};

static error_t
on_argument (int key, char *value, struct argp_state *state)
{
  struct program *p = state->input;

  if (key == 's')
    p->path = value;
  else if (key == 'c')
    p->check = true;
  else if (key == 'j')
    p->json = true;
  else if (key == ARGP_KEY_END && !p->path)
    argp_error (state, "--settings is required");
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

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
  lo_book_open (&p->book, &p->settings, name);
  tk_loop_init (&loop);
  struct lo_run *r = lo_run_open (&loop, &p->book);
  ev_signal_init (&term, on_signal, SIGTERM);
  term.data = r;
  ev_signal_start (loop.ev, &term);
  tk_loop_run (&loop);
  ev_signal_stop (loop.ev, &term);
  lo_run_close (r);
  tk_loop_free (&loop);
  usleep (SETTLE_MS * 1000);
  bool ok = lo_book_reconcile (&p->book, err);
  if (!lo_book_print (&p->book, p->json, stdout))
    ok = zp_fail (err, ZP_ECONFLICT,
                  "requests were lost, doubled, wrong or "
                  "falsely told not-run");
  lo_book_close (&p->book);
  return ok;
}

int
main (int argc, char **argv)
{
  static const struct argp_option options[]
      = { { "settings", 's', "FILE", 0, "Settings, JSON with comments", 0 },
          { "check-settings", 'c', NULL, 0, "Check the settings and exit", 0 },
          { "json", 'j', NULL, 0, "Print JSON lines, not a table", 0 },
          { .name = NULL } };
  static const struct argp argp = { .options = options,
                                    .parser = on_argument,
                                    .doc = "Stand-in for callers" };
  struct program *p = zp_alloc (sizeof *p);
  struct zp_report report = { .count = 0 };
  struct zp_err err;

  argp_parse (&argp, argc, argv, 0, NULL, p);
  signal (SIGPIPE, SIG_IGN);
  bool ok = lo_settings_load (&p->settings, p->path, &report);
  fprintf (stderr, "%.*s", ZP_ARG (zp_str_of (&report.lines)));
  zp_log_open ("zp-load", (enum zp_log_level) p->settings.log_level);
  if (ok && !p->check && !(ok = run (p, &err)))
    zp_log (ZP_LOG_ERR, PART, "%s", err.text);
  zp_report_free (&report);
  zp_settings_free (&p->settings.loaded);
  free (p);
  return ok ? 0 : 1;
}
