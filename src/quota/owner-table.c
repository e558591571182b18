#include "quota/owner-state.h"

#include <stdlib.h>

#include "base/str.h"

void
qu_table_clear (struct qu_owner *o)
{
  free (o->lease);
  free (o->holder);
  qu_index_free (&o->lease_index);
  qu_index_free (&o->holder_index);
  o->lease = NULL;
  o->holder = NULL;
  o->lease_len = o->holder_len = 0;
  o->lease_free = o->holder_free = QU_NONE;
  o->lease_order = o->holder_order
      = (struct qu_order){ .first = QU_NONE, .last = QU_NONE };
  o->counts.leases = o->counts.holders = 0;
}

/* The order of leases and holders.  LINKS_OF gives the links at a position.  */

static struct qu_links *
lease_links (struct qu_owner *o, uint32_t at)
{
  return &o->lease[at].links;
}

static struct qu_links *
holder_links (struct qu_owner *o, uint32_t at)
{
  return &o->holder[at].links;
}

typedef struct qu_links *links_of (struct qu_owner *o, uint32_t at);

static void
order_remove (struct qu_owner *o, struct qu_order *order, links_of *get,
              uint32_t at)
{
  struct qu_links l = *get (o, at);

  if (l.previous == QU_NONE)
    order->first = l.next;
  else
    get (o, l.previous)->next = l.next;
  if (l.next == QU_NONE)
    order->last = l.previous;
  else
    get (o, l.next)->previous = l.previous;
}

static void
order_append (struct qu_owner *o, struct qu_order *order, links_of *get,
              uint32_t at)
{
  *get (o, at) = (struct qu_links){ .previous = order->last, .next = QU_NONE };
  if (order->last == QU_NONE)
    order->first = at;
  else
    get (o, order->last)->next = at;
  order->last = at;
}

static uint64_t
lease_key (uint32_t holder, uint32_t limit)
{
  return (uint64_t) holder << 32 | limit;
}

static void
remove_lease (struct qu_owner *o, uint32_t at)
{
  struct qu_lease *l = &o->lease[at];
  struct qu_pool *w = &o->limit[l->limit];

  qu_pool_count_share (o, w, l, (struct qu_share){ .rate = 0 });
  qu_pool_count_demand (w, l, 0);
  order_remove (o, &o->lease_order, lease_links, at);
  qu_index_remove (&o->lease_index, lease_key (l->holder, l->limit));
  /* Its flights have ended, because they last shorter than a lease.  */
  l->links.next = o->lease_free;
  o->lease_free = at;
  o->counts.leases--;
  if (--w->leases == 0 && !w->limited)
    qu_pool_release (o, w);
}

static uint64_t
holder_key (uint64_t id, uint64_t incarnation)
{
  return id ^ (incarnation * 0x9e3779b97f4a7c15ULL);
}

static void
remove_holder (struct qu_owner *o, uint32_t at)
{
  struct qu_start *h = &o->holder[at];

  order_remove (o, &o->holder_order, holder_links, at);
  qu_index_remove (&o->holder_index, holder_key (h->id, h->incarnation));
  h->links.next = o->holder_free;
  o->holder_free = at;
  o->counts.holders--;
}

/* Drops what has ended.  A holder ends no earlier than its leases.  */
static void
expire (struct qu_owner *o)
{
  while (o->lease_order.first != QU_NONE
         && o->lease[o->lease_order.first].end <= o->now)
    remove_lease (o, o->lease_order.first);
  while (o->holder_order.first != QU_NONE
         && o->holder[o->holder_order.first].end <= o->now)
    remove_holder (o, o->holder_order.first);
}

static struct qu_lease *
new_lease (struct qu_owner *o, uint32_t holder, uint32_t limit)
{
  uint32_t at = o->lease_free;

  if (at != QU_NONE)
    o->lease_free = o->lease[at].links.next;
  else
    {
      at = o->lease_len++;
      if ((at & (at - 1)) == 0) /* a power of two: full */
        o->lease = zp_realloc (o->lease, (at > 0 ? 2 * (size_t) at : 1)
                                             * sizeof *o->lease);
    }
  o->lease[at]
      = (struct qu_lease){ .holder = holder, .limit = limit, .seen = o->now };
  qu_index_put (&o->lease_index, lease_key (holder, limit), at);
  order_append (o, &o->lease_order, lease_links, at);
  o->limit[limit].leases++;
  o->counts.leases++;
  return &o->lease[at];
}

static uint32_t
new_holder (struct qu_owner *o, uint64_t id, uint64_t incarnation)
{
  uint32_t at = o->holder_free;

  if (at != QU_NONE)
    o->holder_free = o->holder[at].links.next;
  else if (o->holder_len == QU_HOLDERS_MAX)
    return QU_NONE;
  else
    {
      if (!o->holder)
        o->holder = zp_alloc (QU_HOLDERS_MAX * sizeof *o->holder);
      at = o->holder_len++;
    }
  o->holder[at] = (struct qu_start){ .id = id, .incarnation = incarnation };
  qu_index_put (&o->holder_index, holder_key (id, incarnation), at);
  order_append (o, &o->holder_order, holder_links, at);
  o->counts.holders++;
  return at;
}

uint32_t
qu_table_holder (struct qu_owner *o, const struct tk_quota_ask *a)
{
  uint32_t at = qu_index_get (&o->holder_index,
                              holder_key (a->holder, a->incarnation));

  if (at == QU_NONE)
    at = new_holder (o, a->holder, a->incarnation);
  if (at == QU_NONE)
    return QU_NONE;
  struct qu_start *h = &o->holder[at];
  if (h->id != a->holder || h->incarnation != a->incarnation
      || a->number <= h->number)
    return QU_NONE;
  h->number = a->number;
  h->end = o->now + QU_COUNTED (QU_TTL);
  order_remove (o, &o->holder_order, holder_links, at);
  order_append (o, &o->holder_order, holder_links, at);
  return at;
}

struct qu_lease *
qu_table_lease (struct qu_owner *o, uint32_t holder, uint32_t limit)
{
  uint32_t at = qu_index_get (&o->lease_index, lease_key (holder, limit));
  struct qu_lease *l
      = at != QU_NONE ? &o->lease[at] : new_lease (o, holder, limit);

  at = (uint32_t) (l - o->lease);
  l->end = o->now + QU_COUNTED (QU_TTL);
  order_remove (o, &o->lease_order, lease_links, at);
  order_append (o, &o->lease_order, lease_links, at);
  return l;
}

void
qu_table_advance (struct qu_owner *o, zp_time now)
{
  if (now > o->now)
    o->now = now;
  expire (o);
}
