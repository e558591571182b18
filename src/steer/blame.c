#include "steer/blame.h"

static struct st_blamed *
find (struct st_blame *b, uint64_t fingerprint)
{
  for (size_t i = 0; i < b->len; i++)
    if (b->item[i].fingerprint == fingerprint)
      return &b->item[i];
  return NULL;
}

static struct st_blamed *
add (struct st_blame *b, uint64_t fingerprint)
{
  struct st_blamed *x = &b->item[0];

  if (b->len < ST_BLAME_MAX)
    x = &b->item[b->len++];
  else
    for (size_t i = 1; i < b->len; i++)
      if (b->item[i].last < x->last)
        x = &b->item[i];
  *x = (struct st_blamed){ .fingerprint = fingerprint };
  return x;
}

bool
st_blame_lost (struct st_blame *b, uint64_t fingerprint, uint64_t server,
               zp_time now)
{
  struct st_blamed *x = find (b, fingerprint);

  if (x && now - x->last > ST_BLAME_PERIOD)
    x->servers = 0;
  if (!x)
    x = add (b, fingerprint);
  for (unsigned i = 0; i < x->servers; i++)
    if (x->server[i] == server)
      return false;
  if (x->servers < ST_BLAME_SERVERS)
    x->server[x->servers++] = server;
  x->last = now;
  return true;
}

void
st_blame_answered (struct st_blame *b, uint64_t fingerprint)
{
  struct st_blamed *x = find (b, fingerprint);

  if (x)
    *x = b->item[--b->len];
}

bool
st_blame_refuses (const struct st_blame *b, uint64_t fingerprint, zp_time now)
{
  for (size_t i = 0; i < b->len; i++)
    if (b->item[i].fingerprint == fingerprint)
      return b->item[i].servers >= ST_BLAME_SERVERS
             && now - b->item[i].last <= ST_BLAME_PERIOD;
  return false;
}
