#include "steer/drain.h"

#include <stdlib.h>
#include <string.h>

bool
st_drain_parse (struct zp_str text, struct st_drain *out, struct zp_err *err)
{
  static const char *const kind[] = {
    [ST_DRAIN_SERVER] = "server",
    [ST_DRAIN_ENTRY] = "entry",
    [ST_DRAIN_FAILURE_DOMAIN] = "failure_domain",
    [ST_DRAIN_REGION] = "region",
  };
  struct zp_str head, tail;

  *out = (struct st_drain){ .kind = ST_DRAIN_SERVER };
  if (zp_str_split (text, '/', &head, &tail))
    for (size_t i = 0; i < sizeof kind / sizeof kind[0]; i++)
      if (zp_str_eq (head, zp_str_from (kind[i])))
        {
          out->kind = (enum st_drain_kind) i;
          if (tail.len > 0 && zp_str_copy (out->name, sizeof out->name, tail))
            return true;
          return zp_fail (err, ZP_EINVAL,
                          "drain target: name needs 1 to %d bytes",
                          ZP_NAME_MAX - 1);
        }
  return zp_fail (err, ZP_EINVAL,
                  "drain target \"%.*s\": expected server/ID, entry/ID, "
                  "failure_domain/NAME or region/NAME",
                  ZP_ARG (text));
}

void
st_drains_add (struct st_drains *d, const struct st_drain *item)
{
  d->item = st_reserve (d->item, &d->cap, d->len, sizeof *d->item);
  d->item[d->len++] = *item;
}

void
st_drains_free (struct st_drains *d)
{
  free (d->item);
  *d = (struct st_drains){ .item = NULL };
}

/* Whether D names the failure domain or its region.  */
static bool
covers_location (const struct st_drain *d, struct zp_str failure_domain,
                 struct zp_str region)
{
  struct zp_str name = zp_str_from (d->name);

  switch (d->kind)
    {
    case ST_DRAIN_SERVER:
    case ST_DRAIN_ENTRY:
      return false;
    case ST_DRAIN_FAILURE_DOMAIN:
      return zp_str_eq (name, failure_domain);
    case ST_DRAIN_REGION:
      return zp_str_eq (name, region);
    }
  return false;
}

static bool
covers_server (const struct st_drain *d, struct zp_str id,
               struct zp_str failure_domain, struct zp_str region)
{
  if (d->kind == ST_DRAIN_SERVER)
    return zp_str_eq (zp_str_from (d->name), id);
  return covers_location (d, failure_domain, region);
}

static bool
covers_entry (const struct st_drain *d, struct zp_str id,
              struct zp_str failure_domain, struct zp_str region)
{
  if (d->kind == ST_DRAIN_ENTRY)
    return zp_str_eq (zp_str_from (d->name), id);
  return covers_location (d, failure_domain, region);
}

bool
st_drains_cover_server (const struct st_drains *d, struct zp_str id,
                        struct zp_str failure_domain, struct zp_str region)
{
  for (size_t i = 0; i < d->len; i++)
    if (covers_server (&d->item[i], id, failure_domain, region))
      return true;
  return false;
}

bool
st_drains_cover_entry (const struct st_drains *d, struct zp_str entry,
                       struct zp_str failure_domain, struct zp_str region)
{
  for (size_t i = 0; i < d->len; i++)
    if (covers_entry (&d->item[i], entry, failure_domain, region))
      return true;
  return false;
}

bool
st_drains_name_entry (const struct st_drains *d, struct zp_str entry)
{
  for (size_t i = 0; i < d->len; i++)
    if (d->item[i].kind == ST_DRAIN_ENTRY
        && zp_str_eq (zp_str_from (d->item[i].name), entry))
      return true;
  return false;
}

/* A server normally announces to an entry daemon of its own failure domain.
   If its owner is elsewhere, the server counts as one of the owner's failure
   domain.  */
size_t
st_drains_apply (const struct st_drains *d, struct st_lessor *l,
                 const struct st_drain_self *self)
{
  size_t n = 0;

  for (size_t i = 0; i < l->owner.servers; i++)
    {
      struct st_server *s = l->owner.server[i];

      s->draining = st_drains_cover_server (
          d, zp_str_from (s->id), self->failure_domain, self->region);
      n += s->draining;
    }
  return n;
}

/* Adds the covered servers and their work to P.  */
static void
add_servers (const struct st_drain *d, const struct st_drain_self *self,
             const struct st_lessor *l, struct st_drain_progress *p)
{
  for (size_t i = 0; i < l->owner.servers; i++)
    {
      const struct st_server *s = l->owner.server[i];

      if (!covers_server (d, zp_str_from (s->id), self->failure_domain,
                          self->region))
        continue;
      p->slots += s->lent;
      p->inflight += s->inflight;
      p->servers += s->lent > 0 || s->inflight > 0;
    }
}

struct st_drain_progress
st_drain_progress (const struct st_drain *d, const struct st_drain_self *self,
                   const struct st_lessor *l, const struct st_holder *h,
                   zp_time now)
{
  struct st_drain_progress p = { .done = false };

  add_servers (d, self, l, &p);
  if (covers_entry (d, self->entry, self->failure_domain, self->region))
    {
      p.cached_until = d->since + ZP_LOOKUP_TTL;
      for (size_t i = 0; i < h->servers; i++)
        p.requests += h->server[i].used;
      if (d->kind == ST_DRAIN_ENTRY)
        p.owned = (unsigned) l->owner.servers;
    }
  p.done = p.servers == 0 && p.owned == 0 && p.requests == 0
           && now >= p.cached_until;
  return p;
}
