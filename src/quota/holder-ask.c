#include "quota/holder-state.h"

#include <math.h>
#include <stdlib.h>

#include "base/str.h"

/* A lease is renewed at least this often, so that it survives a lost ask.  */
#define RENEWAL_TIME (QU_TTL / 3)

/* Tokens that E wants in an ask made now.  */
static uint32_t
want_of (const struct qu_entry *e)
{
  return e->waiting > qu_entry_asked (e) ? e->waiting - qu_entry_asked (e) : 0;
}

/* An entry that an ask may have.  */
struct pick
{
  struct qu_entry *entry;
  uint32_t want;
};

/* Entries that want tokens first, then those whose last ask is the longest
   ago.  */
static int
compare_picks (const void *a, const void *b)
{
  const struct pick *x = a, *y = b;

  if ((x->want > 0) != (y->want > 0))
    return x->want > 0 ? -1 : 1;
  zp_time p = x->entry->asked_at, q = y->entry->asked_at;
  if (p != q)
    return p < q ? -1 : 1;
  return (x->entry > y->entry) - (x->entry < y->entry);
}

static struct tk_quota_ask_item
make_item (const struct pick *p, zp_time now)
{
  struct qu_entry *e = p->entry;

  e->asked[0] += p->want;
  e->asked_at = now;
  /* The acknowledgement of a grant says that its tokens are spent.  */
  e->spare = 0;
  e->unacked = false;
  double gone = (double) (now - e->demand_at) / (double) ZP_SEC;
  return (struct tk_quota_ask_item){
    .workspace = e->workspace,
    .rate_share = e->rate_share,
    .burst_share = e->burst_share,
    .applied = e->applied,
    .demand = e->demand * exp (-fmax (gone, 0) / QU_DEMAND_TIME),
    .want = p->want,
  };
}

/* Puts the entries for an ask at NOW into PICK; returns their number.
   PERIODIC false: only those that want tokens or acknowledge them.  */
static size_t
pick_entries (struct qu_holder *h, bool periodic, zp_time now,
              struct pick *pick)
{
  size_t n = 0, flags = periodic ? h->len : h->flags;

  for (size_t i = 0; i < flags; i++)
    {
      struct qu_entry *e = &h->entry[periodic ? i : h->flag[i]];
      qu_entry_refresh (h, e, now);
      uint32_t want = want_of (e);
      if (want > 0 || e->unacked || (periodic && now < e->active_until))
        pick[n++] = (struct pick){ .entry = e, .want = want };
    }
  return n;
}

/* Keeps the flags of the entries that had no room in the ask.  */
static void
clear_flags (struct qu_holder *h)
{
  size_t kept = 0;

  h->urgent = false;
  h->ack_due = ZP_NEVER;
  for (size_t i = 0; i < h->flags; i++)
    {
      struct qu_entry *e = &h->entry[h->flag[i]];
      bool wants = want_of (e) > 0;
      e->flagged = wants || e->unacked;
      h->urgent |= wants;
      if (e->unacked)
        h->ack_due = h->last_ask;
      if (e->flagged)
        h->flag[kept++] = h->flag[i];
    }
  h->flags = kept;
}

static void
note_ask (struct qu_holder *h, zp_time now)
{
  if (h->silent_since == 0 || now - h->last_ask > QU_SILENCE_GAP)
    h->silent_since = now;
  h->number++;
  h->sent[h->number % QU_SENT_ASKS]
      = (struct qu_sent){ .number = h->number, .at = now };
  h->last_ask = now;
  h->counts.asks++;
}

/* Time to the next periodic ask when N entries are to be renewed.  With more
   than fit into one ask it is short enough to renew each of them within
   RENEWAL_TIME.  */
static zp_time
period_for (const struct qu_holder *h, size_t n)
{
  zp_time most = RENEWAL_TIME * QU_ITEMS_MAX / (zp_time) (n > 0 ? n : 1);

  if (n <= QU_ITEMS_MAX || most > h->period)
    return h->period;
  return most > QU_PERIOD_MIN ? most : QU_PERIOD_MIN;
}

bool
qu_holder_make_ask (struct qu_holder *h, zp_time now, struct tk_quota_ask *ask)
{
  bool periodic = now >= h->next_period && now < h->active_until;

  if (now < qu_holder_next_due (h, now))
    return false;
  struct pick *pick = zp_alloc ((h->len + 1) * sizeof *pick);
  size_t n = pick_entries (h, periodic, now, pick);
  zp_time period = period_for (h, n);
  if (n > QU_ITEMS_MAX)
    {
      qsort (pick, n, sizeof *pick, compare_picks);
      n = QU_ITEMS_MAX;
    }
  if (n > 0)
    {
      note_ask (h, now);
      *ask = (struct tk_quota_ask){
        .holder = h->id,
        .incarnation = h->incarnation,
        .number = h->number,
        .item = zp_alloc (n * sizeof *ask->item),
        .len = n,
      };
      for (size_t i = 0; i < n; i++)
        ask->item[i] = make_item (&pick[i], now);
    }
  free (pick);
  clear_flags (h);
  if (periodic)
    h->next_period = now + period;
  return n > 0;
}

zp_time
qu_holder_next_due (const struct qu_holder *h, zp_time now)
{
  /* Longer with many holders, as the period is.  */
  zp_time gap = h->last_ask + QU_ASK_GAP * h->period / QU_PERIOD_MIN;
  zp_time due = h->urgent ? gap : h->ack_due;

  if (now < h->active_until && h->next_period < due)
    due = h->next_period;
  return due > gap ? due : gap;
}
