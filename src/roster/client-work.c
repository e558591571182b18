#include <string.h>

#include "roster/client-state.h"
#include "roster/codec.h"

/* Whether X is a better collector of work than Y: of the own failure domain,
   then of the own region; of equal ones the lowest address, so that daemons
   with the same connections choose the same one.  */
static bool
is_better_collector (const struct ro_control *x, const struct ro_control *y)
{
  const char *domain = x->client->self.failure_domain;
  bool near = strcmp (x->failure_domain, domain) == 0;

  if (!y)
    return true;
  if (near != (strcmp (y->failure_domain, domain) == 0))
    return near;
  return strcmp (x->address, y->address) < 0;
}

/* The control daemon that sums up the work of this entry daemon.  NULL:
   none.  */
static struct ro_control *
work_collector (struct ro_client *c)
{
  struct ro_control *best = NULL;

  for (size_t i = 0; i < c->controls; i++)
    {
      struct ro_control *x = c->control[i];
      if (x->state.answered && strcmp (x->region, c->self.region) == 0
          && is_better_collector (x, best))
        best = x;
    }
  return best;
}

void
ro_client_send_work (struct ro_client *c, const struct tk_work *w)
{
  struct ro_control *collector = work_collector (c);
  struct zp_buf b = { .ptr = NULL };

  ro_put_work (&b, w);
  for (size_t i = 0; i < c->controls; i++)
    {
      struct ro_control *x = c->control[i];
      bool wanted
          = c->self.kind == TK_DAEMON_CONTROL
                ? x->state.answered && strcmp (x->region, c->self.region) == 0
                : x == collector;
      if (wanted)
        wi_conn_send (x->conn, WI_ROSTER_WORK, zp_str_of (&b));
    }
  zp_buf_free (&b);
}

void
ro_client_send_loss (struct ro_client *c, const struct tk_loss *l)
{
  struct zp_buf b = { .ptr = NULL };
  unsigned sent = 0;

  ro_put_loss (&b, l);
  for (size_t i = 0; i < c->controls && sent < 2; i++)
    if (c->control[i]->state.answered)
      sent += wi_conn_send (c->control[i]->conn, WI_ROSTER_LOSS,
                            zp_str_of (&b));
  zp_buf_free (&b);
}
