#include "steer/crash.h"

static struct st_crash_entry *
find (struct st_crash_table *b, uint64_t fingerprint)
{
  for (size_t i = 0; i < b->len; i++)
    if (b->entry[i].fingerprint == fingerprint)
      return &b->entry[i];
  return NULL;
}

static struct st_crash_entry *
add (struct st_crash_table *b, uint64_t fingerprint)
{
  struct st_crash_entry *e = &b->entry[0];

  if (b->len < ST_CRASH_ENTRIES)
    e = &b->entry[b->len++];
  else
    for (size_t i = 1; i < b->len; i++)
      if (b->entry[i].last_loss < e->last_loss)
        e = &b->entry[i];
  *e = (struct st_crash_entry){ .fingerprint = fingerprint };
  return e;
}

bool
st_crash_note (struct st_crash_table *b, uint64_t fingerprint, uint64_t server,
               zp_time now)
{
  struct st_crash_entry *e = find (b, fingerprint);

  if (e && now - e->last_loss > ST_CRASH_PERIOD)
    e->servers = 0;
  if (!e)
    e = add (b, fingerprint);
  for (unsigned i = 0; i < e->servers; i++)
    if (e->server[i] == server)
      return false;
  if (e->servers < ST_CRASH_SERVERS)
    e->server[e->servers++] = server;
  e->last_loss = now;
  return true;
}

void
st_crash_clear (struct st_crash_table *b, uint64_t fingerprint)
{
  struct st_crash_entry *e = find (b, fingerprint);

  if (e)
    *e = b->entry[--b->len];
}

bool
st_crash_refuses (const struct st_crash_table *b, uint64_t fingerprint,
                  zp_time now)
{
  for (size_t i = 0; i < b->len; i++)
    if (b->entry[i].fingerprint == fingerprint)
      return b->entry[i].servers >= ST_CRASH_SERVERS
             && now - b->entry[i].last_loss <= ST_CRASH_PERIOD;
  return false;
}
