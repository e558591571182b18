#include "steer/stop.h"

#include <assert.h>

void
st_stop_begin (struct st_stop *s, zp_time now, zp_time lookup_ttl,
               zp_time length)
{
  assert (!s->begun);
  *s = (struct st_stop){ .begun = true,
                         .since = now,
                         .lookup_ttl = lookup_ttl,
                         .length = length,
                         .busy_at = now };
}

/* Whether the daemon was paused over the time in which it answers, and still
   has to.  */
static bool
answers_late (struct st_stop *s, zp_time now, size_t unfinished)
{
  if (unfinished == 0)
    return false;
  if (s->answering_at == 0)
    s->answering_at = now;
  return s->answering_at >= s->since + s->length
         && now - s->answering_at < ST_STOP_LATE_TIME;
}

enum st_stop_phase
st_stop_step (struct st_stop *s, zp_time now, size_t unfinished)
{
  zp_time passed = now - s->since;

  if (!s->begun)
    return ST_STOP_NOT_BEGUN;
  if (passed >= s->length)
    return answers_late (s, now, unfinished) ? ST_STOP_ANSWERING
                                             : ST_STOP_OVER;
  if (passed < s->lookup_ttl || unfinished > 0)
    s->busy_at = now;
  if (now - s->busy_at >= ST_STOP_LINGER)
    return ST_STOP_OVER;
  if (passed >= s->length - ST_STOP_ANSWER_TIME)
    {
      if (s->answering_at == 0)
        s->answering_at = now;
      return ST_STOP_ANSWERING;
    }
  return passed < s->lookup_ttl ? ST_STOP_LISTENING : ST_STOP_DRAINING;
}

bool
st_stop_allows (const struct st_stop *s, const struct st_stop_request *r)
{
  zp_time end = s->since + s->length;

  if (!s->begun)
    return true;
  if (r->now >= end - ST_STOP_ANSWER_TIME)
    return false;
  if (r->deadline <= end)
    return true;
  return r->arrived - s->since <= s->lookup_ttl + ST_STOP_TAKE_SLACK
         && r->now + ST_STOP_TIME_FACTOR * r->expected <= end;
}
