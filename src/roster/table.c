#include "roster/table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

struct ro_server *
ro_table_find (const struct ro_table *t, struct zp_str id)
{
  for (size_t i = 0; i < t->len; i++)
    if (zp_str_eq (zp_str_from (t->item[i].report.id), id))
      return &t->item[i];
  return NULL;
}

static struct ro_server *
find_address (const struct ro_table *t, const char *address,
              const struct ro_server *except)
{
  for (size_t i = 0; i < t->len; i++)
    {
      struct ro_server *x = &t->item[i];
      if (x != except && x->report.state != TK_SERVER_GONE
          && strcmp (x->report.address, address) == 0)
        return x;
    }
  return NULL;
}

/* Whether the server itself has reported that it leaves.  */
static bool
is_leave_report (const struct tk_server *s)
{
  return s->state == TK_SERVER_GONE && !s->expired;
}

/* Whether S is older than KNOWN, the report held.  A leave report counts as
   the last report of its start, whatever its SEQ; with BORN_MS 0 it is about
   the start held.  */
static bool
is_older (const struct tk_server *s, const struct tk_server *known)
{
  if (is_leave_report (s) && (s->born_ms == 0 || s->born_ms == known->born_ms))
    return is_leave_report (known);
  if (s->born_ms != known->born_ms)
    return s->born_ms < known->born_ms;
  return s->expired ? s->seq < known->seq : s->seq <= known->seq;
}

static bool
differs (const struct tk_server *a, const struct tk_server *b)
{
  return a->state != b->state || a->slots != b->slots
         || strcmp (a->address, b->address) != 0
         || strcmp (a->service, b->service) != 0
         || strcmp (a->failure_domain, b->failure_domain) != 0;
}

static struct ro_server *
add_server (struct ro_table *t)
{
  if (t->len == t->cap)
    {
      t->cap = t->cap > 0 ? 2 * t->cap : 64;
      t->item = zp_realloc (t->item, t->cap * sizeof *t->item);
    }
  assert (t->item);
  struct ro_server *x = &t->item[t->len++];
  *x = (struct ro_server){ .updated_at = 0 };
  return x;
}

/* The state that a report of the start of X can give it.  */
static enum tk_server_state
allowed_state (const struct ro_server *x, enum tk_server_state state)
{
  return x->leaving && state == TK_SERVER_READY ? TK_SERVER_DRAINING : state;
}

void
ro_table_leave (struct ro_server *x)
{
  x->leaving = true;
  x->own_state = allowed_state (x, x->own_state);
  x->report.state = allowed_state (x, x->report.state);
}

uint64_t
ro_start_hash (struct zp_str id, uint64_t born_ms)
{
  return zp_str_hash (id, born_ms);
}

/* Renewals come in the order of the sender's table, which mostly is that of T,
   so that the search begins behind the server found last.  */
static struct ro_server *
find_start (struct ro_table *t, uint64_t start)
{
  for (size_t i = 1; i <= t->len; i++)
    {
      size_t at = (t->renewed + i) % t->len;
      if (t->item[at].start != start)
        continue;
      t->renewed = at;
      return &t->item[at];
    }
  return NULL;
}

enum ro_table_result
ro_table_renew (struct ro_table *t, const struct tk_renewal *r, zp_time now,
                struct ro_server **at)
{
  struct ro_server *x = find_start (t, r->start);

  if (!x || r->seq <= x->report.seq || is_leave_report (&x->report))
    return RO_OLD;
  *at = x;
  x->report.seq = r->seq;
  x->updated_at = now;
  if (!x->report.expired)
    return RO_UNCHANGED;
  x->report.expired = false;
  x->report.state = x->own_state;
  return RO_CHANGED;
}

enum ro_table_result
ro_table_update (struct ro_table *t, const struct tk_server *s, zp_time now,
                 struct ro_server **at, struct ro_server **replaced)
{
  struct ro_server *x = ro_table_find (t, zp_str_from (s->id));
  enum ro_table_result result = RO_UNCHANGED;

  *at = NULL;
  if (replaced)
    *replaced = NULL;
  if (x && is_older (s, &x->report))
    return RO_OLD;
  if (x && is_leave_report (s))
    {
      x->report.state = TK_SERVER_GONE;
      x->report.expired = false;
      x->updated_at = now;
      *at = x;
      return RO_CHANGED;
    }
  if (s->state != TK_SERVER_GONE)
    {
      struct ro_server *other = find_address (t, s->address, x);
      if (other && other->report.born_ms > s->born_ms)
        return RO_OLD;
      if (other)
        {
          other->report.state = TK_SERVER_GONE;
          other->report.expired = false;
          other->updated_at = now;
          if (replaced)
            *replaced = other;
        }
    }
  if (!x || s->born_ms > x->report.born_ms)
    result = RO_STARTED;
  /* A start that has sent a leave report does not come back.  */
  else if (x->report.state == TK_SERVER_GONE && !x->report.expired
           && s->state != TK_SERVER_GONE)
    return RO_OLD;
  else if (differs (s, &x->report)
           || (s->cold > 0
               && x->cold_until + RO_COLD_TOLERANCE < now + s->cold))
    result = RO_CHANGED;
  if (!x)
    {
      size_t index
          = replaced && *replaced ? (size_t) (*replaced - t->item) : 0;
      if (t->len == RO_SERVERS_MAX)
        return RO_FULL;
      x = add_server (t);
      if (replaced && *replaced)
        *replaced = &t->item[index];
    }
  x->report = *s;
  x->start = ro_start_hash (zp_str_from (s->id), s->born_ms);
  if (result == RO_STARTED)
    x->leaving = false;
  x->report.state = allowed_state (x, s->state);
  if (!s->expired)
    x->own_state = x->report.state;
  x->cold_until = s->cold > 0 ? now + s->cold : 0;
  x->updated_at = now;
  *at = x;
  return result;
}

void
ro_table_expire (struct ro_table *t, zp_time since, zp_time now,
                 ro_each_server *each, void *self)
{
  for (size_t i = 0; i < t->len;)
    {
      struct ro_server *x = &t->item[i];
      if (x->report.state != TK_SERVER_GONE && x->updated_at < since)
        {
          x->report.state = TK_SERVER_GONE;
          x->report.expired = true;
          x->updated_at = now;
          each (self, x);
        }
      if (x->report.state == TK_SERVER_GONE
          && now - x->updated_at > RO_GONE_TTL)
        {
          *x = t->item[--t->len];
          continue;
        }
      i++;
    }
}

void
ro_table_free (struct ro_table *t)
{
  free (t->item);
  *t = (struct ro_table){ .item = NULL };
}
