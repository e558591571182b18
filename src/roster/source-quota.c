#include "base/log.h"
#include "roster/quota_codec.h"
#include "roster/source-state.h"

bool
ro_source_take_ask (struct ro_link *l, struct zp_str payload)
{
  struct tk_msg *m = tk_msg_new (TK_QUOTA_ASK);
  struct tk_quota_ask *a = &m->u.quota_ask;
  bool ok = ro_get_quota_ask (payload, a);

  /* A daemon must not use up or return the leases of another one.  */
  if (!ok || l->daemon.kind != TK_DAEMON_ENTRY || a->holder != l->daemon.id)
    {
      if (ok)
        zp_log (ZP_LOG_WARNING, RO_SOURCE_PART,
                "daemon %s: dropped an ask for the rate limits of another one",
                l->daemon.name);
      tk_msg_free (m);
      return ok;
    }
  a->link = l->link;
  tk_send (l->source->decider, m);
  return true;
}

void
ro_source_send_grant (struct ro_source *s, const struct tk_quota_grant *g)
{
  struct zp_buf b = { .ptr = NULL };

  for (struct ro_link *l = s->links; l; l = l->next)
    if (l->link == g->link)
      {
        ro_put_quota_grant (&b, g);
        wi_conn_send (l->conn, WI_ROSTER_QUOTA_GRANT, zp_str_of (&b));
        zp_buf_free (&b);
        return;
      }
}
