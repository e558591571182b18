#include <stdlib.h>

#include "base/log.h"
#include "roster/codec.h"
#include "roster/source-state.h"

/* The list of control daemons is sent when it has changed and once in this
   time, which is well below the time after which a daemon forgets one that is
   not listed any more.  */
#define CONTROLS_PERIOD (10 * ZP_SEC)

#define CONTROLS_MAX 64

/* Acknowledgements.  */

/* Whether the acknowledgement of this daemon is waited for.  */
static bool
must_ack (const struct ro_link *l, zp_time now)
{
  return l->identified && l->daemon.kind == TK_DAEMON_ENTRY
         && (l->acked >= l->sent || now - l->sent_at < RO_ACK_TIMEOUT);
}

static bool
is_connected (const struct ro_source *s, uint64_t daemon)
{
  for (const struct ro_link *l = s->links; l; l = l->next)
    if (l->identified && l->daemon.id == daemon)
      return true;
  return false;
}

void
ro_source_note_lost (struct ro_source *s, const struct ro_link *l)
{
  zp_time now = zp_clock_mono ();

  if (!must_ack (l, now) || l->daemon.leaving)
    return;
  if (s->lost_count == s->lost_cap)
    {
      s->lost_cap = s->lost_cap > 0 ? 2 * s->lost_cap : 16;
      s->lost = zp_realloc (s->lost, s->lost_cap * sizeof *s->lost);
    }
  s->lost[s->lost_count++]
      = (struct ro_lost){ .daemon = l->daemon.id, .at = now };
}

/* Removes the daemons that are not waited for any more: those that have
   connected again are waited for by their connection.  */
static void
forget_lost (struct ro_source *s, zp_time now)
{
  size_t kept = 0;

  for (size_t i = 0; i < s->lost_count; i++)
    if (now - s->lost[i].at < RO_ACK_TIMEOUT
        && !is_connected (s, s->lost[i].daemon))
      s->lost[kept++] = s->lost[i];
  s->lost_count = kept;
}

static bool
all_acked (const struct ro_source *s, uint64_t number, zp_time now)
{
  for (const struct ro_link *l = s->links; l; l = l->next)
    if (must_ack (l, now) && l->acked < number)
      return false;
  return s->lost_count == 0;
}

void
ro_source_send_settled (struct ro_source *s)
{
  zp_time now = zp_clock_mono ();
  size_t kept = 0;

  forget_lost (s, now);
  for (size_t i = 0; i < s->pending_count; i++)
    if (all_acked (s, s->pending[i].number, now))
      {
        struct tk_msg *m = tk_msg_new (TK_SERVER_SETTLED);
        m->u.settled.report_id = s->pending[i].report_id;
        tk_send (s->decider, m);
      }
    else
      s->pending[kept++] = s->pending[i];
  s->pending_count = kept;
}

void
ro_source_add_pending (struct ro_source *s, uint64_t report_id)
{
  if (s->pending_count == s->pending_cap)
    {
      s->pending_cap = s->pending_cap > 0 ? 2 * s->pending_cap : 16;
      s->pending
          = zp_realloc (s->pending, s->pending_cap * sizeof *s->pending);
    }
  s->pending[s->pending_count++]
      = (struct ro_pending){ .report_id = report_id, .number = s->number };
}

/* Updates.  */

static bool
controls_due (const struct ro_link *l, zp_time now)
{
  return l->controls_listed_at == 0
         || l->controls_version != l->source->controls_version
         || now - l->controls_listed_at >= CONTROLS_PERIOD;
}

static size_t
list_controls (const struct ro_source *s, struct zp_str *out, size_t max)
{
  struct zp_str rest = zp_str_of (&s->controls), line;
  size_t n = 0;

  while (rest.len > 0 && n < max)
    {
      zp_str_split (rest, '\n', &line, &rest);
      if (line.len > 0)
        out[n++] = line;
    }
  return n;
}

/* Adds to U the servers that have changed or reported again since the last
   update of L.  SERVER and RENEWAL have room for the whole table.  */
static void
list_servers (const struct ro_link *l, zp_time now, struct ro_update *u,
              struct tk_server *server, struct tk_renewal *renewal)
{
  const struct ro_table *t = &l->source->table;

  for (size_t i = 0; i < t->len; i++)
    {
      const struct ro_server *x = &t->item[i];
      if (x->change_number > l->sent)
        {
          server[u->servers] = x->report;
          server[u->servers++].cold
              = x->cold_until > now ? x->cold_until - now : 0;
        }
      else if (x->refresh_number > l->sent)
        renewal[u->renewals++]
            = (struct tk_renewal){ .start = x->start, .seq = x->report.seq };
    }
  u->server = server;
  u->renewal = renewal;
}

void
ro_source_send_update (struct ro_link *l, zp_time now)
{
  struct ro_source *s = l->source;
  size_t n = s->table.len + 1;
  struct tk_server *server = zp_alloc (n * sizeof *server);
  struct tk_renewal *renewal = zp_alloc (n * sizeof *renewal);
  struct zp_str controls[CONTROLS_MAX];
  struct zp_buf b = { .ptr = NULL };
  struct ro_update u = { .number = s->number, .entries = s->entries };

  if (l->daemon.kind == TK_DAEMON_ENTRY)
    list_servers (l, now, &u, server, renewal);
  if (controls_due (l, now))
    {
      u.control = controls;
      u.controls = list_controls (s, controls, CONTROLS_MAX);
      l->controls_version = s->controls_version;
      l->controls_listed_at = now;
    }
  ro_put_update (&b, &u);
  if (l->acked >= l->sent)
    l->sent_at = now;
  l->sent = s->number;
  if (!wi_conn_send (l->conn, WI_ROSTER_UPDATE, zp_str_of (&b)))
    zp_log (ZP_LOG_WARNING, RO_SOURCE_PART,
            "dropped an update to daemon %s: its send queue is full",
            l->daemon.name);
  zp_buf_free (&b);
  free (renewal);
  free (server);
}

void
ro_source_send_changes (struct ro_source *s)
{
  zp_time now = zp_clock_mono ();

  for (struct ro_link *l = s->links; l; l = l->next)
    {
      /* Of the rest only entry daemons need to know.  */
      bool changed = l->daemon.kind == TK_DAEMON_ENTRY && l->sent < s->number;
      if (l->identified && (changed || controls_due (l, now)))
        ro_source_send_update (l, now);
    }
  ro_source_send_settled (s);
}
