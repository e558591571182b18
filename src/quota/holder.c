#include "quota/holder-state.h"

#include <math.h>
#include <stdlib.h>

#include "base/str.h"

/* Tokens are acknowledged no later than this after they came.  While they are
   not, they are missing in the owner's pool.  */
#define ACK_TIME (50 * ZP_MS)

/* Generations of asked tokens; see struct qu_entry.  */
#define ASKED_TIME (250 * ZP_MS)

struct qu_holder *
qu_holder_new (uint64_t id, uint64_t incarnation)
{
  struct qu_holder *h = zp_alloc (sizeof *h);

  h->id = id;
  h->incarnation = incarnation;
  h->period = QU_PERIOD_MIN;
  h->last_ask = -QU_SILENCE_GAP;
  h->ack_due = ZP_NEVER;
  return h;
}

void
qu_holder_free (struct qu_holder *h)
{
  if (!h)
    return;
  free (h->entry);
  free (h->flag);
  qu_index_free (&h->index);
  free (h);
}

struct qu_entry *
qu_entry_of (struct qu_holder *h, uint64_t workspace)
{
  uint32_t at = qu_index_get (&h->index, workspace);

  return at != QU_NONE ? &h->entry[at] : NULL;
}

void
qu_entry_refresh (struct qu_holder *h, struct qu_entry *e, zp_time now)
{
  double leasable = qu_limit_leasable (e->depth) / TK_QUOTA_WHOLE;

  if (e->burst_share > 0 && now >= e->lease_end)
    {
      e->rate_share = e->burst_share = 0;
      h->counts.ended += now < e->active_until;
    }
  qu_bucket_refill (&e->bucket, e->rate * e->rate_share * leasable,
                    e->depth * e->burst_share * leasable, now);
  if (now >= e->spare_end)
    e->spare = 0;
  while (now - e->asked_since >= ASKED_TIME)
    {
      bool both = now - e->asked_since >= 2 * ASKED_TIME;
      e->asked[1] = both ? 0 : e->asked[0];
      e->first[1] = e->first[0];
      e->asked[0] = 0;
      e->first[0] = h->number + 1;
      e->asked_since = both ? now : e->asked_since + ASKED_TIME;
    }
}

uint32_t
qu_entry_asked (const struct qu_entry *e)
{
  return e->asked[0] + e->asked[1];
}

void
qu_entry_flag (struct qu_holder *h, struct qu_entry *e)
{
  if (e->flagged)
    return;
  e->flagged = true;
  h->flag[h->flags++] = (uint32_t) (e - h->entry);
}

/* Limits.  */

void
qu_holder_set_limits (struct qu_holder *h, const struct qu_limit *list,
                      size_t n, zp_time now)
{
  struct qu_entry *all = zp_alloc ((n + 1) * sizeof *all);
  struct qu_index index = { .len = 0 };
  size_t len = 0;

  for (size_t i = 0; i < n; i++)
    {
      const struct qu_limit *l = &list[i];
      struct qu_entry *e = qu_entry_of (h, l->workspace);
      if (l->rate <= 0)
        continue;
      if (e)
        {
          qu_entry_refresh (h, e, now);
          all[len] = *e;
        }
      else
        /* A workspace that returns must not apply a grant for an ask from
           before, which can be larger than the one it applied last.  */
        all[len]
            = (struct qu_entry){ .workspace = l->workspace,
                                 .applied_ask = h->number,
                                 .bucket.updated = now,
                                 .demand_at = now,
                                 .asked_since = now,
                                 .first = { h->number + 1, h->number + 1 } };
      all[len].rate = l->rate;
      all[len].depth = qu_limit_depth (l);
      qu_index_put (&index, l->workspace, (uint32_t) len);
      len++;
    }
  free (h->entry);
  qu_index_free (&h->index);
  h->entry = all;
  h->len = len;
  h->index = index;
  h->flag = zp_realloc (h->flag, (len + 1) * sizeof *h->flag);
  h->flags = 0;
  for (size_t i = 0; i < len; i++)
    if (all[i].flagged)
      h->flag[h->flags++] = (uint32_t) i;
}

/* Requests.  */

/* Counts a request, also one that is refused or waits.  */
static void
note_demand (struct qu_holder *h, struct qu_entry *e, zp_time now)
{
  double gone = (double) (now - e->demand_at) / (double) ZP_SEC;

  if (gone > 0)
    {
      e->demand *= exp (-gone / QU_DEMAND_TIME);
      e->demand_at = now;
    }
  e->demand += 1.0 / QU_DEMAND_TIME;
  e->active_until = now + QU_IDLE;
  if (e->active_until > h->active_until)
    h->active_until = e->active_until;
}

static bool
is_silent (const struct qu_holder *h, zp_time now)
{
  return h->silent_since != 0 && now - h->silent_since > QU_SILENCE
         && now - h->last_ask <= QU_SILENCE_GAP;
}

zp_time
qu_retry_after (struct zp_rng *rng)
{
  return QU_RETRY_MIN
         + zp_rng_below (rng, (uint32_t) (QU_RETRY_MAX - QU_RETRY_MIN + 1));
}

static struct qu_decision
refuse (enum qu_result kind, struct zp_rng *rng)
{
  return (struct qu_decision){ .kind = kind,
                               .u.retry_after = qu_retry_after (rng) };
}

static struct qu_decision
wait_for_token (struct qu_holder *h, struct qu_entry *e)
{
  qu_entry_flag (h, e);
  h->urgent = true;
  return (struct qu_decision){ .kind = QU_WAIT };
}

struct qu_decision
qu_holder_take (struct qu_holder *h, uint64_t workspace, zp_time now,
                struct zp_rng *rng)
{
  struct qu_entry *e = qu_entry_of (h, workspace);

  if (!e)
    return (struct qu_decision){ .kind = QU_SPEND };
  qu_entry_refresh (h, e, now);
  note_demand (h, e, now);
  if (qu_bucket_take (&e->bucket, 1) == 1)
    return (struct qu_decision){ .kind = QU_SPEND };
  /* Tokens from the pool are for those that waited.  */
  if (e->spare > e->waiting)
    {
      e->spare--;
      return (struct qu_decision){ .kind = QU_SPEND };
    }
  if (now < e->empty_until)
    return refuse (QU_EXHAUSTED, rng);
  if (is_silent (h, now))
    return refuse (QU_UNKNOWN, rng);
  e->waiting++;
  return wait_for_token (h, e);
}

struct qu_decision
qu_holder_retry (struct qu_holder *h, uint64_t workspace, zp_time now,
                 struct zp_rng *rng)
{
  struct qu_entry *e = qu_entry_of (h, workspace);

  if (!e)
    return (struct qu_decision){ .kind = QU_SPEND };
  qu_entry_refresh (h, e, now);
  if (e->waiting > 0 && (e->spare > 0 || qu_bucket_take (&e->bucket, 1) == 1))
    {
      e->spare -= e->spare > 0;
      e->waiting--;
      return (struct qu_decision){ .kind = QU_SPEND };
    }
  /* A request whose ask is still under way goes on waiting.  */
  if (e->waiting > qu_entry_asked (e) && now < e->empty_until)
    {
      e->waiting--;
      return refuse (QU_EXHAUSTED, rng);
    }
  if (is_silent (h, now))
    {
      e->waiting -= e->waiting > 0;
      return refuse (QU_UNKNOWN, rng);
    }
  return wait_for_token (h, e);
}

void
qu_holder_cancel_wait (struct qu_holder *h, uint64_t workspace)
{
  struct qu_entry *e = qu_entry_of (h, workspace);

  if (e && e->waiting > 0)
    e->waiting--;
}

void
qu_holder_give_back (struct qu_holder *h, uint64_t workspace, zp_time now)
{
  struct qu_entry *e = qu_entry_of (h, workspace);

  if (!e)
    return;
  qu_entry_refresh (h, e, now);
  e->bucket.level += 1.0;
  qu_entry_refresh (h, e, now); /* cuts the level to the depth */
}

/* Grants.  */

/* The answer to ask NUMBER came: WANTED tokens are no longer under way.  */
static void
settle_asked (struct qu_entry *e, uint64_t number, uint32_t wanted)
{
  int i = number >= e->first[0] ? 0 : 1;

  if (number >= e->first[i])
    e->asked[i] -= wanted < e->asked[i] ? wanted : e->asked[i];
}

/* Whether G is newer than what E has.  The owner of a new term knows of the
   lease only what the ask claimed, so its answer to an ask from before the last
   grant is out of date.  */
static bool
is_newer (const struct qu_entry *e, const struct tk_quota_grant *g)
{
  if (g->grant <= e->applied)
    return false;
  return QU_GRANT_TERM (e->applied) == g->term || g->number > e->applied_ask;
}

/* Applies an item of G, the answer to the ask that was sent at SENT.  */
static void
apply_item (struct qu_holder *h, struct qu_entry *e,
            const struct tk_quota_grant_item *it,
            const struct tk_quota_grant *g, zp_time sent, zp_time now)
{
  qu_entry_refresh (h, e, now);
  settle_asked (e, g->number, it->wanted);
  if (!is_newer (e, g))
    {
      h->counts.ignored++;
      return;
    }
  e->rate_share = it->rate_share;
  e->burst_share = it->burst_share;
  e->lease_end = sent + g->ttl;
  e->applied = g->grant;
  e->applied_ask = h->number;
  qu_entry_refresh (h, e,
                    now); /* cuts the level, also when the lease has ended */

  if (it->tokens > 0 && now < sent + QU_TOKEN_TTL)
    {
      zp_time end = sent + QU_TOKEN_TTL;
      if (e->spare == 0 || end < e->spare_end)
        e->spare_end = end;
      e->spare += it->tokens;
      /* The owner's pool refills only to what is not in flight, so the next
         ask, whatever it is made for, acknowledges the tokens.  */
      e->unacked = true;
      qu_entry_flag (h, e);
      if (h->ack_due == ZP_NEVER)
        h->ack_due = now + ACK_TIME;
    }
  if (it->tokens < it->wanted)
    e->empty_until = now + QU_EMPTY_TTL;
}

/* An owner has answered ask NUMBER.  */
static void
note_answer (struct qu_holder *h, uint64_t number)
{
  if (number <= h->answered)
    return;
  h->answered = number;
  const struct qu_sent *next = &h->sent[(number + 1) % QU_SENT_ASKS];
  h->silent_since = next->number == number + 1 ? next->at : 0;
}

bool
qu_holder_grant (struct qu_holder *h, const struct tk_quota_grant *g,
                 zp_time now)
{
  const struct qu_sent *sent = &h->sent[g->number % QU_SENT_ASKS];

  if (g->holder != h->id || g->incarnation != h->incarnation || g->number == 0
      || sent->number != g->number || g->term < h->counts.term)
    {
      h->counts.ignored++;
      return false;
    }
  h->counts.term = g->term;
  note_answer (h, g->number);
  h->period = g->period < QU_PERIOD_MIN   ? QU_PERIOD_MIN
              : g->period > QU_PERIOD_MAX ? QU_PERIOD_MAX
                                          : g->period;
  if (h->next_period > now + h->period)
    h->next_period = now + h->period;
  for (size_t i = 0; i < g->len; i++)
    {
      struct qu_entry *e = qu_entry_of (h, g->item[i].workspace);
      if (e)
        apply_item (h, e, &g->item[i], g, sent->at, now);
    }
  return true;
}

struct qu_holding
qu_holder_holding (struct qu_holder *h, uint64_t workspace, zp_time now)
{
  struct qu_entry *e = qu_entry_of (h, workspace);

  if (!e)
    return (struct qu_holding){ .spare = 0 };
  qu_entry_refresh (h, e, now);
  return (struct qu_holding){ .rate_share = e->rate_share,
                              .burst_share = e->burst_share,
                              .level = e->bucket.level,
                              .spare = e->spare };
}

struct qu_holder_counts
qu_holder_counts (const struct qu_holder *h)
{
  return h->counts;
}
