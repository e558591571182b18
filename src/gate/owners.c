/* Several servers can be reported at one address: one that has ended and the
   one that uses its address again, or a real one and one that another writer
   has made up.

   A later start is taken for the owner of the address as long as its reports
   say so, if the site in force names its service; a service that no document
   names cannot have a server of ours.  The earlier starts get no requests
   meanwhile, and get them again when the later one is gone.  A request names
   the server that it is meant for, so that the answer proves who is at the
   address: 421 ends the claim (gt_server_replaced), an answer ends the earlier
   starts.  */

#include <string.h>

#include "gate/gate.h"

/* The servers that are reported at one address: the one that was born first,
   and of those whose claim can be believed until an answer proves the contrary
   the one that was born last.  Either can be NULL.  */
struct reported
{
  const struct gt_server *first, *last;
};

static struct reported
find_reported (const struct gt_gate *g, uint64_t address_hash)
{
  struct reported r = { .first = NULL };

  for (size_t i = 0; i < g->servers; i++)
    {
      const struct gt_server *x = g->server[i];
      if (x->address_hash != address_hash || x->report.state == TK_SERVER_GONE)
        continue;
      if (!r.first || x->report.born_ms < r.first->report.born_ms)
        r.first = x;
      if (x->service->settings
          && (!r.last || x->report.born_ms > r.last->report.born_ms))
        r.last = x;
    }
  return r;
}

static void
update (struct gt_gate *g, struct gt_server *x, const struct reported *r)
{
  bool before = x->displaced;

  x->displaced = r->last && ro_claims_address (&r->last->report, &x->report);
  x->displaces
      = x == r->last && ro_claims_address (&x->report, &r->first->report);
  if (x->displaced && !before && x->report.state == TK_SERVER_READY)
    gt_server_note_loss (g);
}

void
gt_owner_update (struct gt_gate *g, uint64_t address_hash)
{
  struct reported r = find_reported (g, address_hash);

  for (size_t i = 0; i < g->servers; i++)
    if (g->server[i]->address_hash == address_hash)
      update (g, g->server[i], &r);
}

void
gt_owner_update_all (struct gt_gate *g)
{
  for (size_t i = 0; i < g->servers; i++)
    {
      struct gt_server *x = g->server[i];
      if (x->report.state == TK_SERVER_GONE)
        continue;
      struct reported r = find_reported (g, x->address_hash);
      update (g, x, &r);
    }
}

void
gt_owner_proved (struct gt_gate *g, struct gt_server *s)
{
  if (!s->displaces)
    return;
  s->displaces = false;
  for (size_t i = 0; i < g->servers; i++)
    if (ro_claims_address (&s->report, &g->server[i]->report))
      gt_server_replaced (g, g->server[i]);
}
