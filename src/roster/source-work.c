#include <stdlib.h>

#include "base/log.h"
#include "roster/codec.h"
#include "roster/source-state.h"

/* Interval at which a control daemon passes the sum of its entry daemons to the
   others of the region.  It adds to the age of what a daemon knows of the other
   failure domains.  */
#define RELAY_PERIOD (100 * ZP_MS)

enum ro_work_kind
ro_source_work_kind (const struct ro_link *l)
{
  switch (l->daemon.kind)
    {
    case TK_DAEMON_ENTRY:
      return RO_WORK_DIRECT;
    case TK_DAEMON_CONTROL:
      break;
    }
  return RO_WORK_RELAYED;
}

/* Takes the samples of loads in WORK, which are of the region of this daemon
   only.  */
static void
take_loads (struct ro_link *l, const struct tk_work *work,
            enum ro_work_kind kind, zp_time now)
{
  struct ro_source *s = l->source;
  size_t max
      = kind == RO_WORK_DIRECT ? RO_LOADS_REPORT_MAX : RO_LOADS_RELAY_MAX;

  if (zp_str_eq (zp_str_from (l->daemon.region), zp_str_of (&s->region)))
    ro_loads_take (&s->loads, l->daemon.id, kind, work, max, now);
}

static void
answer_work (struct ro_link *l, zp_time now)
{
  struct ro_source *s = l->source;
  struct zp_buf b = { .ptr = NULL };
  struct tk_work out;

  /* The sum has to hold the report that has just come, because its sender
     subtracts it.  */
  ro_work_sum (&s->work, zp_str_of (&s->region), RO_WORK_ALL, now, &out);
  ro_loads_read (&s->loads, l->daemon.id, RO_WORK_ALL, RO_LOADS_ANSWER_MAX,
                 &l->loads_read, now, &out);
  ro_put_work (&b, &out);
  wi_conn_send (l->conn, WI_ROSTER_WORK, zp_str_of (&b));
  zp_buf_free (&b);
  free (out.item);
  free (out.load);
}

void
ro_source_take_work (struct ro_link *l, struct zp_str payload)
{
  struct ro_source *s = l->source;
  enum ro_work_kind kind = ro_source_work_kind (l);
  zp_time now = zp_clock_mono ();
  struct tk_work work;

  if (!ro_get_work (payload, &work))
    {
      zp_log (ZP_LOG_WARNING, RO_SOURCE_PART,
              "daemon %s: dropped a malformed list of work", l->daemon.name);
      free (work.item);
      free (work.load);
      return;
    }
  take_loads (l, &work, kind, now);
  free (work.load);
  work.load = NULL;
  work.loads = 0;
  ro_work_set (&s->work, l->daemon.id, kind, zp_str_from (l->daemon.region),
               &work, now);
  if (kind == RO_WORK_DIRECT)
    answer_work (l, now);
}

void
ro_source_relay_work (struct ro_source *s, zp_time now)
{
  if (!s->relay || now - s->work_relayed_at < RELAY_PERIOD - RELAY_PERIOD / 10)
    return;
  s->work_relayed_at = now;
  struct tk_msg *m = tk_msg_new (TK_WORK);
  ro_work_sum (&s->work, zp_str_of (&s->region), RO_WORK_DIRECT, now,
               &m->u.work);
  ro_loads_read (&s->loads, RO_LOADS_NO_DAEMON, RO_WORK_DIRECT,
                 RO_LOADS_RELAY_MAX, &s->loads_relayed, now, &m->u.work);
  bool any = m->u.work.len > 0;
  /* An empty list follows the last one with requests, so that these do not
     stay in the sums until RO_WORK_TTL.  */
  if (any || s->work_relayed_any || m->u.work.loads > 0)
    tk_send (s->relay, m);
  else
    tk_msg_free (m);
  s->work_relayed_any = any;
}

void
ro_source_forward_loss (struct ro_link *from, const struct tk_loss *loss)
{
  struct zp_buf b = { .ptr = NULL };

  ro_put_loss (&b, loss);
  for (struct ro_link *l = from->source->links; l; l = l->next)
    if (l != from && l->identified && l->daemon.kind == TK_DAEMON_ENTRY)
      wi_conn_send (l->conn, WI_ROSTER_LOSS, zp_str_of (&b));
  zp_buf_free (&b);
}
