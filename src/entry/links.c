#include "entry/links.h"

#include <stdlib.h>

#include "entry/router.h"
#include "wire/frame.h"

/* Period of the reports to the other sharers.  */
#define REPORT_PERIOD (500 * ZP_MS)

/* Time for which other regions get no requests after a share was used up.  */
#define BLOCKED_FOR (20 * ZP_MS)

#define BITS_PER_BYTE 8
#define MEGA 1000000

static bool
same (const char *a, struct zp_str b)
{
  return zp_str_eq (zp_str_from (a), b);
}

static struct en_link *
find (const struct en_router *r, struct zp_str from, struct zp_str to)
{
  for (size_t i = 0; i < r->links; i++)
    if (same (r->link[i].direction.from, from)
        && same (r->link[i].direction.to, to))
      return &r->link[i];
  return NULL;
}

/* Configuration.  */

static struct en_link *
add (struct en_router *r, struct zp_str from, struct zp_str to)
{
  r->link = zp_realloc (r->link, (r->links + 1) * sizeof *r->link);
  struct en_link *l = &r->link[r->links++];
  *l = (struct en_link){ .configured = false };
  zp_str_copy (l->direction.from, sizeof l->direction.from, from);
  zp_str_copy (l->direction.to, sizeof l->direction.to, to);
  /* Start time in seconds: higher than that of earlier processes.  */
  st_link_init (&l->link, r->id, r->incarnation / ZP_SEC, zp_clock_mono ());
  return l;
}

static bool
in_region (const struct en_router *r, const struct ti_entry *e,
           const struct ti_link *l)
{
  uint16_t d = en_plan_domain (r->plan, ti_text_str (&e->failure_domain));

  if (d == UINT16_MAX || r->plan->domain_region[d] == UINT16_MAX)
    return false;
  struct zp_str region = r->plan->region[r->plan->domain_region[d]];
  return zp_str_eq (region, ti_text_str (&l->a))
         || zp_str_eq (region, ti_text_str (&l->b));
}

/* Fills OUT with the ids of the entry daemons that the configuration has in
   the regions at both ends of L.  Returns their number.  */
static size_t
collect_sharers (const struct en_router *r, const struct ti_link *l,
                 uint64_t *out)
{
  const struct ti_slot *s;
  size_t at = 0, n = 0;

  while ((s = ti_config_next (r->config, TI_ENTRY, &at)))
    if (n < ZP_MEMBERS_MAX && in_region (r, &s->object->u.entry, l)
        && zp_str_u64 (ti_text_str (&s->key.name), &out[n]))
      n++;
  return n;
}

static void
configure (struct en_router *r, struct zp_str from, struct zp_str to,
           const struct ti_link *l, const uint64_t *sharers, size_t n)
{
  struct en_link *x = find (r, from, to);

  if (!x)
    x = add (r, from, to);
  x->configured = true;
  st_link_configure (&x->link, r->plan->number,
                     (int64_t) l->mbit_per_s * MEGA / BITS_PER_BYTE, sharers,
                     n, zp_clock_mono ());
}

void
en_links_update (struct en_router *r)
{
  uint64_t *sharers = zp_alloc (ZP_MEMBERS_MAX * sizeof *sharers);
  const struct ti_slot *s;
  size_t at = 0;

  for (size_t i = 0; i < r->links; i++)
    r->link[i].configured = false;
  while ((s = ti_config_next (r->config, TI_LINK, &at)))
    {
      const struct ti_link *l = &s->object->u.link;
      struct zp_str a = ti_text_str (&l->a), b = ti_text_str (&l->b);
      size_t n = collect_sharers (r, l, sharers);
      if (n == 0
          || (!zp_str_eq (a, r->settings->region)
              && !zp_str_eq (b, r->settings->region)))
        continue;
      configure (r, a, b, l, sharers, n);
      configure (r, b, a, l, sharers, n);
    }
  free (sharers);
}

/* Messages.  */

static void
request_share (struct en_router *r, struct en_link *l, int64_t demand,
               zp_time now)
{
  struct st_link *x = &l->link;
  struct zp_buf b = { .ptr = NULL };
  int64_t want = st_link_missing (x, demand, now);

  if (want <= 0 || x->sharers == 0)
    return;
  uint64_t to = x->sharer[l->next_sharer++ % x->sharers].member;
  if (to == r->id)
    return;
  struct pe_link_request q
      = { .number = st_link_request (x, to, now), .want = want };
  pe_put_link_request (&b, &l->direction, &q);
  en_send (r, to, WI_LINK_ASK, b);
}

static void
on_share_request (struct en_router *r, uint64_t from, struct zp_str payload)
{
  struct pe_direction d;
  struct pe_link_request q;
  struct st_link_grant g;
  struct zp_buf b = { .ptr = NULL };

  if (!pe_get_link_request (payload, &d, &q))
    return;
  struct en_link *l = find (r, zp_str_from (d.from), zp_str_from (d.to));
  if (!l
      || !st_link_lend (&l->link, from, q.number, q.want, zp_clock_mono (),
                        &g))
    return;
  pe_put_link_grant (&b, &d, &g);
  en_send (r, from, WI_LINK_GRANT, b);
}

void
en_links_frame (struct en_router *r, const struct tk_peer_frame *f)
{
  struct zp_str payload = zp_str_of (&f->payload);
  struct pe_direction d;
  struct st_link_report report;
  struct st_link_grant g;
  struct en_link *l;

  switch (f->kind)
    {
    case WI_LINK_REPORT:
      if (!pe_get_link_report (payload, &d, &report))
        return;
      report.member = f->peer;
      l = find (r, zp_str_from (d.from), zp_str_from (d.to));
      if (l)
        st_link_report (&l->link, &report, zp_clock_mono ());
      return;
    case WI_LINK_ASK:
      on_share_request (r, f->peer, payload);
      return;
    case WI_LINK_GRANT:
      if (!pe_get_link_grant (payload, &d, &g))
        return;
      l = find (r, zp_str_from (d.from), zp_str_from (d.to));
      if (l)
        st_link_granted (&l->link, f->peer, &g, zp_clock_mono ());
      return;
    default:
      return;
    }
}

void
en_links_tick (struct en_router *r)
{
  struct st_link_report report;
  zp_time now = zp_clock_mono ();

  if (now < r->links_at)
    return;
  r->links_at = now + REPORT_PERIOD;
  for (size_t i = 0; i < r->links; i++)
    {
      struct en_link *l = &r->link[i];
      struct zp_buf b = { .ptr = NULL };
      if (!l->configured || !st_link_own_report (&l->link, now, &report))
        continue;
      pe_put_link_report (&b, &l->direction, &report);
      for (size_t k = 0; k < l->link.sharers; k++)
        if (l->link.sharer[k].member != r->id)
          en_send (r, l->link.sharer[k].member, WI_LINK_REPORT,
                   zp_buf_from (zp_str_of (&b)));
      zp_buf_free (&b);
    }
}

/* Requests.  */

static bool
take_bytes (struct en_router *r, struct en_link *l, int64_t bytes, zp_time now)
{
  if (!l || !l->configured || st_link_take (&l->link, bytes, now))
    return true;
  /* The demand is a rate: that used now, plus BYTES within 0.1 s.  */
  request_share (r, l, (int64_t) l->link.used_rate + 10 * bytes, now);
  zp_count (zp_counter ("zp_link_waits_total", ""), 1);
  return false;
}

bool
en_links_take (struct en_router *r, struct zp_str region,
               int64_t request_bytes, int64_t answer_bytes,
               struct en_link_use *out)
{
  struct en_link *outgoing = find (r, r->settings->region, region);
  struct en_link *incoming = find (r, region, r->settings->region);
  zp_time now = zp_clock_mono ();

  *out = (struct en_link_use){ .request_bytes = request_bytes,
                               .answer_bytes = answer_bytes };
  if (!take_bytes (r, outgoing, request_bytes, now))
    {
      r->links_blocked_until = now + BLOCKED_FOR;
      return false;
    }
  if (!take_bytes (r, incoming, answer_bytes, now))
    {
      if (outgoing && outgoing->configured)
        st_link_correct (&outgoing->link, request_bytes, 0, now);
      r->links_blocked_until = now + BLOCKED_FOR;
      return false;
    }
  zp_str_copy (out->region, sizeof out->region, region);
  return true;
}

void
en_links_correct (struct en_router *r, const struct en_link_use *use,
                  int64_t request_bytes, int64_t answer_bytes)
{
  struct zp_str region = zp_str_from (use->region);
  zp_time now = zp_clock_mono ();

  if (region.len == 0)
    return;
  struct en_link *outgoing = find (r, r->settings->region, region);
  struct en_link *incoming = find (r, region, r->settings->region);
  if (outgoing && outgoing->configured)
    st_link_correct (&outgoing->link, use->request_bytes, request_bytes, now);
  if (incoming && incoming->configured)
    st_link_correct (&incoming->link, use->answer_bytes, answer_bytes, now);
}

bool
en_links_blocked (const struct en_router *r, struct zp_str region, zp_time now)
{
  return now < r->links_blocked_until
         && !zp_str_eq (region, r->settings->region);
}

void
en_links_free (struct en_router *r)
{
  for (size_t i = 0; i < r->links; i++)
    st_link_free (&r->link[i].link);
  free (r->link);
}
