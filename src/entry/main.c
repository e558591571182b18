#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/arguments.h"
#include "base/log.h"
#include "base/process.h"
#include "entry/router.h"
#include "follow/follower.h"
#include "follow/source.h"
#include "forward/client.h"
#include "front/server.h"
#include "peer/mesh.h"
#include "task/disk.h"
#include "task/signals.h"

#define PART "main"

static const char doc[]
    = "Entry daemon of zinniapost: answers look-ups, takes requests of "
      "callers and forwards them to backend servers.\v"
      "Exit status: 0 after a graceful shutdown (SIGTERM or SIGINT) or when "
      "the settings are valid, 1 after a failure, 64 for wrong usage.";

/* All tasks of the daemon.  They share one loop, except for the disk task.  */
struct daemon
{
  struct en_settings settings;
  struct tk_loop loop;
  struct en_router *router;
  struct fr_server *front;
  struct fw_client *forward;
  struct pe_mesh *mesh;
  struct fo_follower *follower;
  struct fo_source *relay;
  struct tk_loop disk_loop; /* its thread waits for file syncs */
  struct tk_disk disk;
  bool has_disk;
  ev_signal term, interrupt;
};

static void
on_signal (struct ev_loop *ev, ev_signal *w, int events)
{
  struct daemon *d = w->data;

  (void) ev;
  (void) events;
  tk_send (&d->router->task, tk_msg_new (TK_STOP));
}

static void
on_stopped (void *self)
{
  struct daemon *d = self;

  tk_loop_stop (&d->loop);
}

static bool
open_peers (struct daemon *d, uint64_t incarnation, struct zp_err *err)
{
  const struct en_settings *s = &d->settings;
  struct pe_hello self = { .id = (uint64_t) s->id,
                           .incarnation = incarnation,
                           .failure_domain = s->failure_domain,
                           .region = s->region,
                           .http = s->http,
                           .wire = s->wire };

  struct zp_str listen = s->wire_listen.len > 0 ? s->wire_listen : s->wire;
  d->mesh = pe_mesh_open (&d->loop, &self, listen, &s->seeds, &d->router->task,
                          err);
  if (!d->mesh)
    return false;
  d->router->peers = pe_mesh_task (d->mesh);
  return true;
}

static bool
open_follow (struct daemon *d, struct zp_err *err)
{
  const struct en_settings *s = &d->settings;
  struct fo_follower_options o = { .id = (uint64_t) s->id,
                                   .sources = &s->follow,
                                   .data = s->data,
                                   .decider = &d->router->task };

  if (s->data.len > 0)
    {
      tk_loop_init (&d->disk_loop);
      if (!tk_disk_init (&d->disk, &d->disk_loop, s->data, NULL, err))
        {
          tk_loop_free (&d->disk_loop);
          return false;
        }
      o.disk = &d->disk.task;
    }
  if (s->relay.len > 0)
    {
      d->relay = fo_source_open (&d->loop, s->relay, &d->router->task, err);
      if (!d->relay)
        return false;
      d->router->relay = fo_source_task (d->relay);
    }
  d->follower = fo_follower_open (&d->loop, &o);
  d->router->follower = fo_follower_task (d->follower);
  if (s->data.len > 0)
    {
      d->disk.reply_to = d->router->follower;
      d->has_disk = true;
      tk_loop_start (&d->disk_loop);
    }
  return true;
}

/* Opens the front task last, so that callers can connect only when all other
   tasks run.  */
static bool
open_tasks (struct daemon *d, struct zp_err *err)
{
  /* The incarnation rises with each start, unless the clock of the machine was
     set back by more than the time since the previous start.  */
  uint64_t incarnation = (uint64_t) zp_clock_wall ();

  d->router = en_router_open (&d->loop, &d->settings, incarnation);
  d->router->stopped = on_stopped;
  d->router->stopped_self = d;
  d->forward = fw_client_open (&d->loop, &d->router->task);
  d->router->forward = fw_client_task (d->forward);
  if (!open_peers (d, incarnation, err) || !open_follow (d, err))
    return false;
  d->front
      = fr_server_open (&d->loop, d->settings.http, &d->router->task, err);
  if (!d->front)
    return false;
  d->router->front = fr_server_task (d->front);
  return true;
}

static void
close_disk (struct daemon *d)
{
  if (!d->has_disk)
    return;
  tk_loop_stop (&d->disk_loop);
  tk_loop_join (&d->disk_loop);
  tk_disk_free (&d->disk);
  tk_loop_free (&d->disk_loop);
}

static void
close_tasks (struct daemon *d)
{
  close_disk (d);
  fr_server_close (d->front);
  fo_follower_close (d->follower);
  fo_source_close (d->relay);
  fw_client_close (d->forward);
  pe_mesh_close (d->mesh);
  en_router_close (d->router);
}

static void
watch_signals (struct daemon *d)
{
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&d->term, on_signal, SIGTERM);
  ev_signal_init (&d->interrupt, on_signal, SIGINT);
  d->term.data = d;
  d->interrupt.data = d;
  ev_signal_start (d->loop.ev, &d->term);
  ev_signal_start (d->loop.ev, &d->interrupt);
  tk_signals_release ();
}

static int
run (struct daemon *d)
{
  struct zp_err err = { .code = ZP_OK };
  int status = EXIT_SUCCESS;

  tk_loop_init (&d->loop);
  if (open_tasks (d, &err))
    {
      watch_signals (d);
      zp_log (ZP_LOG_NOTICE, PART, "entry daemon %lld serves on %.*s",
              (long long) d->settings.id, ZP_ARG (d->settings.http));
      tk_loop_run (&d->loop);
    }
  else
    {
      zp_log (ZP_LOG_ERR, PART, "cannot start: %s", err.text);
      status = EXIT_FAILURE;
    }
  close_tasks (d);
  tk_loop_free (&d->loop);
  return status;
}

int
main (int argc, char **argv)
{
  struct zp_arguments a;
  struct daemon d = { .router = NULL };
  struct zp_report report = { .count = 0 };
  int status = EXIT_SUCCESS;

  zp_process_forbid_cores ();
  tk_signals_hold ();
  zp_arguments_parse (argc, argv, doc, false, &a);
  zp_log_open ("zp-entry", ZP_LOG_INFO, STDOUT_FILENO);
  if (!en_settings_load (&d.settings, a.path, &report))
    {
      fprintf (stderr, "%s", report.lines.ptr);
      status = EXIT_FAILURE;
    }
  else if (a.check)
    printf ("%s: settings are valid\n", a.path);
  else
    {
      zp_log_open ("zp-entry",
                   a.verbose ? ZP_LOG_DEBUG
                             : (enum zp_log_level) d.settings.log_level,
                   STDOUT_FILENO);
      status = run (&d);
    }
  zp_report_free (&report);
  en_settings_free (&d.settings);
  return status;
}
