#include "roster/client-state.h"
#include "roster/quota_codec.h"

void
ro_client_note_leads (struct ro_control *x, bool leads)
{
  if (!leads)
    x->leads_since = 0;
  else if (x->leads_since == 0)
    x->leads_since = zp_clock_mono ();
}

/* The control daemon that leads.  A leader that was cut off can have said so
   last and be silent since; the one that has begun last is the newer one.  */
static struct ro_control *
find_leader (struct ro_client *c)
{
  struct ro_control *best = NULL;

  for (size_t i = 0; i < c->controls; i++)
    {
      struct ro_control *x = c->control[i];
      if (x->conn && x->leads_since > 0
          && (!best || x->leads_since > best->leads_since))
        best = x;
    }
  return best;
}

void
ro_client_send_ask (struct ro_client *c, const struct tk_quota_ask *a)
{
  struct ro_control *leader = find_leader (c);
  struct zp_buf b = { .ptr = NULL };

  if (!leader)
    return;
  ro_put_quota_ask (&b, a);
  wi_conn_send (leader->conn, WI_ROSTER_QUOTA_ASK, zp_str_of (&b));
  zp_buf_free (&b);
}

bool
ro_client_take_grant (struct ro_control *x, struct zp_str payload)
{
  struct tk_msg *m = tk_msg_new (TK_QUOTA_GRANT);
  bool ok = ro_get_quota_grant (payload, &m->u.quota_grant);

  if (ok && x->client->self.kind == TK_DAEMON_ENTRY)
    tk_send (x->client->decider, m);
  else
    tk_msg_free (m);
  return ok;
}
