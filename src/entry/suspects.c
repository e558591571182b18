#include <stdlib.h>

#include "base/log.h"
#include "entry/router.h"
#include "peer/report_codec.h"
#include "wire/frame.h"

#define PART "poison"

/* Sends a report to the member S->to, or to all live members of the own region
   when S->to is 0.  */
static void
send_report (struct en_router *r, const struct st_poison_message *s)
{
  struct zp_buf b = { .ptr = NULL };

  if (s->report.kind == ST_POISON_UPDATE)
    ZP_EVENT (ZP_LOG_WARNING, PART, "a request was in flight on lost servers",
              ZP_F_INT (ZP_KEY_FINGERPRINT, s->report.fp.lo),
              ZP_F_INT (ZP_KEY_LOSSES, s->report.losses));
  pe_put_poison (&b, &s->report);
  if (s->to != 0)
    {
      en_send (r, s->to, WI_POISON, b);
      return;
    }
  for (size_t i = 1; i < r->members.len; i++)
    {
      const struct en_member *e = &r->members.item[i];
      if (e->live && zp_str_eq (zp_str_from (e->region), r->settings->region))
        en_send (r, e->id, WI_POISON, zp_buf_from (zp_str_of (&b)));
    }
  zp_buf_free (&b);
}

void
en_suspects_flush (struct en_router *r)
{
  struct st_poison_message s;

  while (st_poison_next_report (r->poison, &s))
    send_report (r, &s);
}

void
en_suspects_frame (struct en_router *r, const struct tk_peer_frame *f)
{
  struct st_poison_report report;

  if (!pe_get_poison (zp_str_of (&f->payload), &report)
      || report.origin != f->peer)
    {
      zp_count (zp_counter ("zp_poison_bad_total", ""), 1);
      return;
    }
  st_poison_merge (r->poison, &report, zp_clock_mono ());
  en_suspects_flush (r);
}

/* The quorum for trials of suspect requests counts all entry daemons of the
   region that this daemon has ever seen, live or not.  */
void
en_suspects_members (struct en_router *r)
{
  struct st_poison_member all[ST_POISON_MEMBERS_MAX];
  size_t n = 0;

  for (size_t i = 0; i < r->members.len && n < ST_POISON_MEMBERS_MAX; i++)
    {
      const struct en_member *e = &r->members.item[i];
      if (zp_str_eq (zp_str_from (e->region), r->settings->region))
        all[n++] = (struct st_poison_member){ .id = e->id, .live = e->live };
    }
  st_poison_set_members (r->poison, all, n);
}
