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

bool
ro_claims_address (const struct tk_server *a, const struct tk_server *b)
{
  return a->born_ms > b->born_ms && a->state != TK_SERVER_GONE
         && b->state != TK_SERVER_GONE && strcmp (a->address, b->address) == 0;
}

/* Whether the server itself has reported that it leaves.  */
static bool
is_leave_report (const struct tk_server *s)
{
  return s->state == TK_SERVER_GONE && !s->expired;
}

/* The latest birth that S says has left.  KNOWN is the report held, or NULL; a
   leave report that tells no time is about the start held.  */
static uint64_t
left_bound (const struct tk_server *s, const struct tk_server *known)
{
  if (!is_leave_report (s) || s->left_ms > s->born_ms)
    return s->left_ms;
  if (s->born_ms > 0)
    return s->born_ms;
  return known ? known->born_ms : 0;
}

/* Whether the start of S has left, as KNOWN says.  */
static bool
has_left (const struct tk_server *s, const struct tk_server *known)
{
  return s->born_ms <= known->left_ms
         && (known->left_ms > 0 || is_leave_report (known));
}

/* Whether S, which is no leave report, is older than KNOWN, the report held.
 */
static bool
is_older (const struct tk_server *s, const struct tk_server *known)
{
  if (has_left (s, known))
    return true;
  if (s->born_ms != known->born_ms)
    return s->born_ms < known->born_ms;
  return s->expired ? s->seq < known->seq : s->seq <= known->seq;
}

/* Whether S, which is no leave report, says what a server cannot say that is
   in use as KNOWN: that it has another service or, as the same start, another
   address.  A report without BORN_MS does not tell its start.  */
static bool
is_odd (const struct tk_server *s, const struct tk_server *known)
{
  if (known->state == TK_SERVER_GONE)
    return false;
  return strcmp (s->service, known->service) != 0
         || (s->born_ms > 0 && s->born_ms == known->born_ms
             && strcmp (s->address, known->address) != 0);
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

uint64_t
ro_leave_bound (const struct ro_table *t, const struct tk_server *s,
                zp_time wall)
{
  const struct ro_server *x
      = t ? ro_table_find (t, zp_str_from (s->id)) : NULL;
  uint64_t bound = (uint64_t) (wall / ZP_MS) + RO_LEAVE_MARGIN_MS;

  if (s->born_ms > 0)
    return s->born_ms;
  return x && x->report.born_ms > bound ? x->report.born_ms : bound;
}

void
ro_table_mark_left (struct ro_server *x, zp_time now)
{
  x->report.state = TK_SERVER_GONE;
  x->report.expired = false;
  if (x->report.left_ms < x->report.born_ms)
    x->report.left_ms = x->report.born_ms;
  x->updated_at = now;
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

/* Applies the leave report S to X, which is known.  */
static enum ro_table_result
apply_leave (struct ro_server *x, const struct tk_server *s, zp_time now)
{
  uint64_t bound = left_bound (s, &x->report);
  bool known = bound <= x->report.left_ms && is_leave_report (&x->report);

  if (bound > x->report.left_ms)
    x->report.left_ms = bound;
  if (known || bound < x->report.born_ms)
    return RO_OLD;
  ro_table_mark_left (x, now);
  return RO_CHANGED;
}

enum ro_table_result
ro_table_update (struct ro_table *t, const struct tk_server *s, zp_time now,
                 struct ro_server **at)
{
  struct ro_server *x = ro_table_find (t, zp_str_from (s->id));
  enum ro_table_result result = RO_UNCHANGED;
  uint64_t left_ms;

  *at = NULL;
  if (x && is_leave_report (s))
    {
      result = apply_leave (x, s, now);
      *at = result == RO_OLD ? NULL : x;
      return result;
    }
  if (x && (is_older (s, &x->report) || is_odd (s, &x->report)))
    return RO_OLD;
  left_ms = left_bound (s, NULL);
  if (x && x->report.left_ms > left_ms)
    left_ms = x->report.left_ms;
  if (!x || s->born_ms > x->report.born_ms)
    result = RO_STARTED;
  else if (differs (s, &x->report)
           || (s->cold > 0
               && x->cold_until + RO_COLD_TOLERANCE < now + s->cold))
    result = RO_CHANGED;
  if (!x)
    {
      if (t->len == RO_SERVERS_MAX)
        return RO_FULL;
      x = add_server (t);
    }
  x->report = *s;
  x->report.left_ms = left_ms;
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
ro_table_mark_silent (struct ro_server *x, zp_time now)
{
  x->report.state = TK_SERVER_GONE;
  x->report.expired = true;
  x->updated_at = now;
}

void
ro_table_forget (struct ro_table *t, zp_time now, ro_may_forget *may,
                 void *self)
{
  for (size_t i = 0; i < t->len;)
    {
      struct ro_server *x = &t->item[i];
      if (x->report.state == TK_SERVER_GONE
          && now - x->updated_at > RO_GONE_TTL && may (self, x))
        *x = t->item[--t->len];
      else
        i++;
    }
}

static bool
may_always (void *self, const struct ro_server *x)
{
  (void) self;
  (void) x;
  return true;
}

void
ro_table_expire (struct ro_table *t, zp_time since, zp_time now,
                 ro_each_server *each, void *self)
{
  for (size_t i = 0; i < t->len; i++)
    {
      struct ro_server *x = &t->item[i];
      if (x->report.state == TK_SERVER_GONE || x->updated_at >= since)
        continue;
      ro_table_mark_silent (x, now);
      each (self, x);
    }
  ro_table_forget (t, now, may_always, NULL);
}

void
ro_table_free (struct ro_table *t)
{
  free (t->item);
  *t = (struct ro_table){ .item = NULL };
}
