#include "steer/crash.h"

static struct st_crash_entry *
find (struct st_crash_table *t, uint64_t fingerprint)
{
  for (size_t i = 0; i < t->len; i++)
    if (t->entry[i].fingerprint == fingerprint)
      return &t->entry[i];
  return NULL;
}

static struct st_crash_entry *
add (struct st_crash_table *t, uint64_t fingerprint)
{
  struct st_crash_entry *e = &t->entry[0];

  if (t->len < ST_CRASH_ENTRIES)
    e = &t->entry[t->len++];
  else
    for (size_t i = 1; i < t->len; i++)
      if (t->entry[i].last_loss < e->last_loss)
        e = &t->entry[i];
  *e = (struct st_crash_entry){ .fingerprint = fingerprint };
  return e;
}

bool
st_crash_note (struct st_crash_table *t, uint64_t fingerprint, uint64_t server,
               zp_time now)
{
  struct st_crash_entry *e = find (t, fingerprint);

  if (e && now - e->last_loss > ST_CRASH_PERIOD)
    e->servers = 0;
  if (!e)
    e = add (t, fingerprint);
  for (unsigned i = 0; i < e->servers; i++)
    if (e->server[i] == server)
      return false;
  if (e->servers < ST_CRASH_SERVERS)
    e->server[e->servers++] = server;
  e->last_loss = now;
  return true;
}

void
st_crash_clear (struct st_crash_table *t, uint64_t fingerprint)
{
  struct st_crash_entry *e = find (t, fingerprint);

  if (e)
    *e = t->entry[--t->len];
}

bool
st_crash_refuses (const struct st_crash_table *t, uint64_t fingerprint,
                  zp_time now)
{
  for (size_t i = 0; i < t->len; i++)
    if (t->entry[i].fingerprint == fingerprint)
      return t->entry[i].servers >= ST_CRASH_SERVERS
             && now - t->entry[i].last_loss <= ST_CRASH_PERIOD;
  return false;
}
