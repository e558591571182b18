#include "site/site.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct si_site *
si_site_new (uint64_t number)
{
  struct si_site *s = zp_alloc (sizeof *s);

  s->number = number;
  return s;
}

void
si_site_add_service (struct si_site *s, const struct si_service *service)
{
  s->service = zp_realloc (s->service, (s->services + 1) * sizeof *s->service);
  s->service[s->services++] = *service;
}

void
si_site_add_route (struct si_site *s, const struct si_route *route)
{
  s->route = zp_realloc (s->route, (s->routes + 1) * sizeof *s->route);
  s->route[s->routes++] = *route;
}

void
si_route_add_part (struct si_route *r, struct zp_str service, unsigned weight)
{
  r->part = zp_realloc (r->part, (r->parts + 1) * sizeof *r->part);
  r->part[r->parts++]
      = (struct si_part){ .service = zp_buf_from (service), .weight = weight };
}

void
si_route_add_home (struct si_route *r, struct zp_str region)
{
  r->home = zp_realloc (r->home, (r->homes + 1) * sizeof *r->home);
  r->home[r->homes++] = zp_buf_from (region);
}

void
si_route_clear (struct si_route *r)
{
  zp_buf_free (&r->name);
  zp_buf_free (&r->host);
  zp_buf_free (&r->prefix);
  for (size_t i = 0; i < r->parts; i++)
    zp_buf_free (&r->part[i].service);
  for (size_t i = 0; i < r->homes; i++)
    zp_buf_free (&r->home[i]);
  free (r->part);
  free (r->home);
}

/* LIST with room for one more element than N.  It grows at powers of 2, so that
   a long list is not copied for each element.  */
static void *
grow (void *list, size_t n, size_t size)
{
  if ((n & (n - 1)) != 0)
    return list;
  return zp_realloc (list, (n > 0 ? 2 * n : 1) * size);
}

void
si_site_add_workspace (struct si_site *s, const struct si_workspace *workspace)
{
  s->workspace = grow (s->workspace, s->workspaces, sizeof *s->workspace);
  s->workspace[s->workspaces++] = *workspace;
}

void
si_site_add_key (struct si_site *s, struct zp_str key)
{
  assert (s->workspaces > 0);
  si_keys_add (&s->keys, key, s->workspaces - 1);
}

void
si_workspace_add_home (struct si_workspace *w, struct zp_str region)
{
  w->home = zp_realloc (w->home, (w->homes + 1) * sizeof *w->home);
  w->home[w->homes++] = zp_buf_from (region);
}

void
si_workspace_clear (struct si_workspace *w)
{
  zp_buf_free (&w->name);
  for (size_t i = 0; i < w->homes; i++)
    zp_buf_free (&w->home[i]);
  free (w->home);
}

void
si_site_free (struct si_site *s)
{
  if (!s)
    return;
  for (size_t i = 0; i < s->routes; i++)
    si_route_clear (&s->route[i]);
  for (size_t i = 0; i < s->services; i++)
    {
      zp_buf_free (&s->service[i].name);
      zp_buf_free (&s->service[i].health_path);
    }
  for (size_t i = 0; i < s->workspaces; i++)
    si_workspace_clear (&s->workspace[i]);
  si_keys_free (&s->keys);
  free (s->workspace);
  free (s->route);
  free (s->service);
  free (s);
}

/* Order of routes: by host, and within a host the longest prefix first.  */

static int
cmp_host (struct zp_str a, struct zp_str b)
{
  size_t n = a.len < b.len ? a.len : b.len;
  int c = n > 0 ? strncasecmp (a.ptr, b.ptr, n) : 0;

  if (c != 0)
    return c;
  return a.len < b.len ? -1 : a.len > b.len;
}

static int
cmp_route (const void *a, const void *b)
{
  const struct si_route *x = a, *y = b;
  int c = cmp_host (zp_str_of (&x->host), zp_str_of (&y->host));

  if (c != 0)
    return c;
  if (x->prefix.len != y->prefix.len)
    return x->prefix.len > y->prefix.len ? -1 : 1;
  return zp_str_cmp (zp_str_of (&x->prefix), zp_str_of (&y->prefix));
}

static bool
check_route (struct si_site *s, struct si_route *r, struct zp_err *err)
{
  unsigned weight = 0;

  if (r->host.len == 0)
    return zp_fail (err, ZP_EINVAL, "route \"%.*s\": no host",
                    ZP_ARG (zp_str_of (&r->name)));
  if (r->prefix.len == 0 || r->prefix.ptr[0] != '/')
    return zp_fail (err, ZP_EINVAL,
                    "route \"%.*s\": found prefix \"%.*s\", allowed: one that "
                    "begins with \"/\"",
                    ZP_ARG (zp_str_of (&r->name)),
                    ZP_ARG (zp_str_of (&r->prefix)));
  for (size_t i = 0; i < r->parts; i++)
    {
      const struct si_service *v
          = si_site_service (s, zp_str_of (&r->part[i].service));
      if (!v)
        return zp_fail (err, ZP_EINVAL,
                        "route \"%.*s\": unknown service \"%.*s\"",
                        ZP_ARG (zp_str_of (&r->name)),
                        ZP_ARG (zp_str_of (&r->part[i].service)));
      r->part[i].index = (size_t) (v - s->service);
      weight += r->part[i].weight;
    }
  return weight > 0
         || zp_fail (err, ZP_EINVAL,
                     "route \"%.*s\": no service has a weight above 0",
                     ZP_ARG (zp_str_of (&r->name)));
}

/* Whether NAME can be the value of a header.  Servers drop the spaces around a
   value, so that two names that differ in these only are the same to them.  */
static bool
is_workspace_name (struct zp_str name)
{
  if (name.len == 0 || name.ptr[0] == ' ' || name.ptr[name.len - 1] == ' ')
    return false;
  for (size_t i = 0; i < name.len; i++)
    if ((unsigned char) name.ptr[i] < ' ' || name.ptr[i] == 0x7f)
      return false;
  return true;
}

static bool
is_limit (double v)
{
  return isfinite (v) && v >= 0;
}

/* Checks the workspace at AT, apart from the others.  */
static bool
check_workspace (struct si_site *s, size_t at, struct zp_err *err)
{
  struct si_workspace *w = &s->workspace[at];
  struct zp_str name = zp_str_of (&w->name);

  if (!is_workspace_name (name))
    return zp_fail (err, ZP_EINVAL,
                    "workspace %zu of the list: its name is empty, has a "
                    "control character, or begins or ends with a space",
                    at + 1);
  if (!is_limit (w->rate_per_s) || !is_limit (w->burst))
    return zp_fail (err, ZP_EINVAL,
                    "workspace \"%.*s\": allowed as its rate and burst: "
                    "finite numbers from 0 on",
                    ZP_ARG (name));
  /* The hash identifies the workspace between daemons.  */
  w->hash = zp_str_hash (name, 0);
  return true;
}

static int
cmp_workspace (const void *a, const void *b)
{
  const struct si_workspace *const *x = a, *const *y = b;

  return (*x)->hash < (*y)->hash ? -1 : (*x)->hash > (*y)->hash;
}

static bool
check_workspace_names (const struct si_site *s, struct zp_err *err)
{
  size_t n = s->workspaces;
  const struct si_workspace **list = zp_alloc ((n + 1) * sizeof (void *));
  bool ok = true;

  for (size_t i = 0; i < n; i++)
    list[i] = &s->workspace[i];
  qsort (list, n, sizeof (void *), cmp_workspace);
  for (size_t i = 1; ok && i < n; i++)
    if (list[i - 1]->hash == list[i]->hash)
      ok = zp_fail (err, ZP_EINVAL, "workspace \"%.*s\" is defined twice",
                    ZP_ARG (zp_str_of (&list[i]->name)));
  free (list);
  return ok;
}

static bool
check_workspaces (struct si_site *s, struct zp_err *err)
{
  size_t a, b;

  for (size_t i = 0; i < s->workspaces; i++)
    if (!check_workspace (s, i, err))
      return false;
  if (!check_workspace_names (s, err))
    return false;
  return si_keys_seal (&s->keys, &a, &b)
         || zp_fail (err, ZP_EINVAL,
                     "workspaces \"%.*s\" and \"%.*s\" have the same key",
                     ZP_ARG (zp_str_of (&s->workspace[a].name)),
                     ZP_ARG (zp_str_of (&s->workspace[b].name)));
}

bool
si_site_seal (struct si_site *s, struct zp_err *err)
{
  if (!check_workspaces (s, err))
    return false;
  for (size_t i = 0; i < s->services; i++)
    if (si_site_service (s, zp_str_of (&s->service[i].name)) != &s->service[i])
      return zp_fail (err, ZP_EINVAL, "service \"%.*s\" is defined twice",
                      ZP_ARG (zp_str_of (&s->service[i].name)));
  for (size_t i = 0; i < s->routes; i++)
    if (!check_route (s, &s->route[i], err))
      return false;
  if (s->routes > 0)
    qsort (s->route, s->routes, sizeof *s->route, cmp_route);
  for (size_t i = 1; i < s->routes; i++)
    if (cmp_route (&s->route[i - 1], &s->route[i]) == 0)
      return zp_fail (err, ZP_EINVAL,
                      "two routes have host \"%.*s\" and prefix \"%.*s\"",
                      ZP_ARG (zp_str_of (&s->route[i].host)),
                      ZP_ARG (zp_str_of (&s->route[i].prefix)));
  return true;
}

/* The index of the first route of HOST, or of a later host if it has none.  */
static size_t
first_of_host (const struct si_site *s, struct zp_str host)
{
  size_t low = 0, high = s->routes;

  while (low < high)
    {
      size_t mid = low + (high - low) / 2;
      if (cmp_host (zp_str_of (&s->route[mid].host), host) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

const struct si_route *
si_site_route (const struct si_site *s, struct zp_str host, struct zp_str path)
{
  struct zp_str name, port;

  zp_str_split (host, ':', &name, &port);
  for (size_t i = first_of_host (s, name);
       i < s->routes && cmp_host (zp_str_of (&s->route[i].host), name) == 0;
       i++)
    if (zp_str_starts (path, zp_str_of (&s->route[i].prefix)))
      return &s->route[i];
  return NULL;
}

const struct si_workspace *
si_site_workspace (const struct si_site *s, struct zp_str key)
{
  size_t at;

  return si_keys_find (&s->keys, key, &at) ? &s->workspace[at] : NULL;
}

const struct si_service *
si_site_service (const struct si_site *s, struct zp_str name)
{
  for (size_t i = 0; i < s->services; i++)
    if (zp_str_eq (zp_str_of (&s->service[i].name), name))
      return &s->service[i];
  return NULL;
}
