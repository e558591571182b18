/* Control daemons mark silent servers gone, and forget them.  An entry daemon
   gets the mark once.  It gets none for a server when it is not connected at
   that time, or when the control daemon that had the reports is lost together
   with the server.  */

#include <stdlib.h>

#include "gate/gate.h"

/* The time of the newest report of a server in use.  It stops when no control
   daemon can be reached; then no server is silent.  */
static zp_time
newest_report (const struct ro_table *t)
{
  zp_time newest = 0;

  for (size_t i = 0; i < t->len; i++)
    if (t->item[i].report.state != TK_SERVER_GONE
        && t->item[i].updated_at > newest)
      newest = t->item[i].updated_at;
  return newest;
}

static struct gt_server *
find (struct gt_gate *g, const struct ro_server *x)
{
  return gt_server_find (g, zp_str_hash (zp_str_from (x->report.id), 0));
}

/* Whether S has neither an answer nor a request in progress that shows that it
   still runs.  */
static bool
is_idle (const struct gt_server *s, zp_time now)
{
  return s->load.own == 0
         && (s->answered_at == 0 || now - s->answered_at > RO_GONE_TTL);
}

static void
mark_silent (struct gt_gate *g, zp_time now)
{
  zp_time newest = newest_report (&g->table);

  for (size_t i = 0; i < g->table.len; i++)
    {
      struct ro_server *x = &g->table.item[i];
      if (x->report.state == TK_SERVER_GONE
          || newest - x->updated_at <= RO_GONE_TTL)
        continue;
      const struct gt_server *s = find (g, x);
      if (s && !is_idle (s, now))
        continue;
      ro_table_mark_silent (x, now);
      gt_server_apply (g, x, false);
    }
}

/* Frees the server of X unless a request is in progress there, whose end has to
   be counted at it.  */
static bool
release (void *self, const struct ro_server *x)
{
  struct gt_gate *g = self;
  struct gt_server *s = find (g, x);
  size_t at = 0;

  if (!s)
    return true;
  if (s->load.own > 0)
    return false;
  while (g->server[at] != s)
    at++;
  g->server[at] = g->server[--g->servers];
  st_health_remove (&s->health, &s->service->group);
  free (s);
  return true;
}

void
gt_server_expire (struct gt_gate *g, zp_time now)
{
  mark_silent (g, now);
  ro_table_forget (&g->table, now, release, g);
}
