#include "steer/owner.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

#include "steer/view.h"

/* By how much the offset rises with time, so that it follows a server's clock
   that is slower.  Twice the rate error, as both clocks may be off.  */
#define OFFSET_DRIFT_PERCENT (2 * ZP_CLOCK_RATE_ERROR_PERCENT)

void
st_owner_init (struct st_owner *o, uint64_t self, uint64_t epoch, zp_time now)
{
  *o = (struct st_owner){ .self = self, .epoch = epoch, .last_step = now };
}

struct st_server *
st_owner_find (const struct st_owner *o, struct zp_str id)
{
  for (size_t i = 0; i < o->servers; i++)
    if (zp_str_eq (zp_str_from (o->server[i]->id), id))
      return o->server[i];
  return NULL;
}

static bool
valid (const struct st_announce *a, struct zp_err *err)
{
  if (a->id.len == 0 || a->id.len >= ZP_NAME_MAX)
    return zp_fail (err, ZP_EINVAL, "id: needs 1 to %d bytes",
                    ZP_NAME_MAX - 1);
  if (a->service.len == 0 || a->service.len >= ZP_NAME_MAX)
    return zp_fail (err, ZP_EINVAL, "service: needs 1 to %d bytes",
                    ZP_NAME_MAX - 1);
  if (a->address.len == 0 || a->address.len >= ZP_ADDRESS_MAX)
    return zp_fail (err, ZP_EINVAL, "address: needs 1 to %d bytes",
                    ZP_ADDRESS_MAX - 1);
  if (a->slots > ZP_SERVER_SLOTS_MAX
      || a->connections > ZP_SERVER_CONNECTIONS_MAX)
    return zp_fail (err, ZP_EINVAL, "slots or connections: above the limit");
  if (a->uptime < 0 || !isfinite (a->load))
    return zp_fail (err, ZP_EINVAL, "uptime_ms or load: not a valid number");
  return true;
}

/* Begins the takeover wait.  Leases that this daemon has granted on the server
   count until they end.  */
static void
start_wait (struct st_server *s, const struct st_announce *a, zp_time now)
{
  s->first_uptime = a->uptime;
  s->offset = now - a->uptime;
  s->announced = 0;
  s->handed_over = false;
  s->owned = false;
  s->wait = ST_TAKEOVER_WAIT;
  s->ready = now + s->wait;
}

/* Whether A shows a gap, an end of the ownership, or another process of the
   server, after which the takeover wait begins again.  */
static bool
must_restart_wait (const struct st_server *s, const struct st_announce *a,
                   zp_time now)
{
  if (a->uptime <= s->uptime || now >= s->end)
    return true;
  if (!s->owned)
    return a->uptime - s->uptime >= 2 * ZP_ANNOUNCE_PERIOD;
  /* The offset of an owner is right to within one period.  An uptime that is
     further ahead is of an earlier process of the server and arrives late.  */
  return now - a->uptime < s->offset - ZP_ANNOUNCE_PERIOD;
}

/* Estimates when the announcement was sent, never later than NOW.  */
static zp_time
estimate_sent (struct st_server *s, const struct st_announce *a, zp_time now)
{
  zp_time offset = s->offset + (now - s->arrived) * OFFSET_DRIFT_PERCENT / 100;

  if (now - a->uptime < offset)
    offset = now - a->uptime;
  s->offset = offset;
  return offset + a->uptime;
}

struct st_server *
st_owner_announce (struct st_owner *o, const struct st_announce *a,
                   zp_time now, struct zp_err *err)
{
  if (!valid (a, err))
    return NULL;
  struct st_server *s = st_owner_find (o, a->id);
  if (s && now < s->end && a->uptime <= s->uptime
      && s->uptime - a->uptime < ZP_ANNOUNCE_TTL)
    {
      /* A late or repeated announcement of the same process.  If it is of a
         process that was restarted, more follow with a growing uptime, and
         the ownership ends in the meantime.  */
      return s;
    }
  if (!s)
    {
      s = zp_alloc (sizeof *s);
      o->server = st_reserve (o->server, &o->server_cap, o->servers,
                              sizeof (struct st_server *));
      o->server[o->servers++] = s;
      zp_str_copy (s->id, sizeof s->id, a->id);
      s->arrived = now;
      start_wait (s, a, now);
    }
  else if (must_restart_wait (s, a, now))
    {
      s->arrived = now;
      start_wait (s, a, now);
    }
  s->end = estimate_sent (s, a, now) + ZP_ANNOUNCE_TTL;
  s->arrived = now;
  s->uptime = a->uptime;
  s->announced++;
  if (s->announced >= ST_CONFIRM_COUNT && now >= s->ready
      && s->uptime - s->first_uptime >= s->wait)
    s->owned = true;
  zp_str_copy (s->service, sizeof s->service, a->service);
  zp_str_copy (s->address, sizeof s->address, a->address);
  s->slots = a->slots;
  s->connections = a->connections;
  s->limit = s->slots > s->lent ? s->slots : s->lent;
  s->limit_connections = s->connections > s->lent_connections
                             ? s->connections
                             : s->lent_connections;
  s->leaving = a->leaving;
  s->inflight = a->inflight;
  s->load = a->load;
  s->reported_at = now;
  return s;
}

bool
st_server_usable (const struct st_server *s, zp_time now)
{
  return s->owned && now < s->end;
}

bool
st_server_grantable (const struct st_server *s, zp_time now)
{
  return st_server_usable (s, now) && !s->leaving && !s->draining
         && !s->handed_over;
}

bool
st_server_take_over (struct st_server *s, zp_time uptime, zp_time now)
{
  if (s->owned || s->wait == 0 || now >= s->end || s->first_uptime < uptime
      || s->first_uptime - uptime >= ST_TAKEOVER_WAIT)
    return false;
  s->wait = 0;
  s->ready = now;
  return true;
}

bool
st_owner_frozen (struct st_owner *o, zp_time now)
{
  zp_time gap = now - o->last_step;

  assert (gap >= 0);
  o->last_step = now;
  if (gap <= ZP_LEASE_TTL)
    return false;
  o->epoch++;
  return true;
}

void
st_owner_drop (struct st_owner *o, size_t i)
{
  assert (i < o->servers);
  free (o->server[i]);
  o->server[i] = o->server[--o->servers];
}

void
st_owner_free (struct st_owner *o)
{
  while (o->servers > 0)
    st_owner_drop (o, o->servers - 1);
  free (o->server);
  o->server = NULL;
  o->server_cap = 0;
}
