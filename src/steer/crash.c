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
  struct st_crash_entry *x = &b->entry[0];

  if (b->len < ST_CRASH_ENTRIES)
    x = &b->entry[b->len++];
  else
    for (size_t i = 1; i < b->len; i++)
      if (b->entry[i].last_loss < x->last_loss)
        x = &b->entry[i];
  *x = (struct st_crash_entry){ .fingerprint = fingerprint };
  return x;
}

bool
st_crash_note (struct st_crash_table *b, uint64_t fingerprint, uint64_t server,
               zp_time now)
{
  struct st_crash_entry *x = find (b, fingerprint);

  if (x && now - x->last_loss > ST_CRASH_PERIOD)
    x->servers = 0;
  if (!x)
    x = add (b, fingerprint);
  for (unsigned i = 0; i < x->servers; i++)
    if (x->server[i] == server)
      return false;
  if (x->servers < ST_CRASH_SERVERS)
    x->server[x->servers++] = server;
  x->last_loss = now;
  return true;
}

void
st_crash_clear (struct st_crash_table *b, uint64_t fingerprint)
{
  struct st_crash_entry *x = find (b, fingerprint);

  if (x)
    *x = b->entry[--b->len];
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
