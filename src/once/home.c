#include "once/home.h"

#include <assert.h>
#include <inttypes.h>

#include "base/limits.h"

/* Choosing members.  */

/* The cost of D as the next member of H: the second one when SECOND is NULL,
   the third one otherwise.  The lowest cost is the best; UINT32_MAX means that
   D is already a member.  */
static unsigned
cost (const struct oc_candidate *d, const struct oc_candidate *self,
      const struct oc_candidate *second, const struct oc_home *h)
{
  if (oc_home_find (h, d->ref.id))
    return UINT32_MAX;
  bool in_region = zp_str_eq (d->region, self->region);
  if (!second)
    {
      if (!in_region)
        return 2;
      return zp_str_eq (d->failure_domain, self->failure_domain) ? 1 : 0;
    }
  if (!in_region)
    return zp_str_eq (d->region, second->region) ? 1 : 0;
  bool same = zp_str_eq (d->failure_domain, self->failure_domain)
              || zp_str_eq (d->failure_domain, second->failure_domain);
  return same ? 3 : 2;
}

/* A random one of the candidates with the lowest cost, each with the same
   probability; NULL if none can be a member.  */
static const struct oc_candidate *
pick (const struct oc_candidate *self, const struct oc_candidate *second,
      const struct oc_candidate *candidates, size_t count,
      const struct oc_home *h, struct zp_rng *rng)
{
  const struct oc_candidate *best = NULL;
  unsigned best_cost = UINT32_MAX;
  uint32_t ties = 0;

  for (size_t i = 0; i < count; i++)
    {
      unsigned c = cost (&candidates[i], self, second, h);
      if (c == UINT32_MAX || c > best_cost)
        continue;
      if (c < best_cost)
        ties = 0;
      best_cost = c;
      if (zp_rng_below (rng, ++ties) == 0)
        best = &candidates[i];
    }
  return best;
}

void
oc_home_choose (struct oc_home *out, const struct oc_candidate *self,
                const struct oc_candidate *candidates, size_t count,
                struct zp_rng *rng)
{
  *out = (struct oc_home){ .member = { self->ref }, .count = 1 };
  const struct oc_candidate *second
      = pick (self, NULL, candidates, count, out, rng);
  if (!second)
    return;
  out->member[out->count++] = second->ref;
  const struct oc_candidate *third
      = pick (self, second, candidates, count, out, rng);
  if (third)
    out->member[out->count++] = third->ref;
  else
    out->count = 1;
}

size_t
oc_home_quorum (const struct oc_home *h)
{
  return h->count / 2 + 1;
}

const struct oc_member_ref *
oc_home_find (const struct oc_home *h, uint64_t id)
{
  for (size_t i = 0; i < h->count; i++)
    if (h->member[i].id == id)
      return &h->member[i];
  return NULL;
}

/* Tokens and keys.  */

void
oc_home_format (struct zp_buf *out, const struct oc_home *h)
{
  assert (h->count == 1 || h->count == OC_HOME_MAX);
  for (size_t i = 0; i < h->count; i++)
    zp_buf_printf (out, "%s%" PRIu64 ":%" PRIu64 ":%" PRIu64, i ? "," : "",
                   h->member[i].id, h->member[i].incarnation,
                   h->member[i].generation);
}

static bool
number_parse (struct zp_str s, uint64_t *out)
{
  if (s.len > 1 && s.ptr[0] == '0')
    return false;
  return zp_str_u64 (s, out);
}

static bool
ref_parse (struct zp_str s, struct oc_member_ref *out)
{
  struct zp_str id, rest, incarnation, generation;

  return zp_str_split (s, ':', &id, &rest)
         && zp_str_split (rest, ':', &incarnation, &generation)
         && number_parse (id, &out->id)
         && number_parse (incarnation, &out->incarnation)
         && number_parse (generation, &out->generation);
}

bool
oc_home_parse (struct zp_str token, struct oc_home *out, struct zp_err *err)
{
  struct zp_str part;
  bool more = true;

  *out = (struct oc_home){ .count = 0 };
  if (token.len > ZP_KEY_MAX)
    return zp_fail (err, ZP_ELIMIT, "token of %zu bytes, at most %d allowed",
                    token.len, ZP_KEY_MAX);
  while (more)
    {
      struct oc_member_ref ref = { .id = 0 };

      more = zp_str_split (token, ',', &part, &token);
      if (out->count == OC_HOME_MAX)
        return zp_fail (err, ZP_EINVAL, "token has more than %d members",
                        OC_HOME_MAX);
      if (!ref_parse (part, &ref))
        return zp_fail (err, ZP_EINVAL,
                        "member %zu of the token is not "
                        "id:incarnation:generation",
                        out->count + 1);
      /* A member that is named twice would count twice for a quorum.  */
      if (oc_home_find (out, ref.id))
        return zp_fail (err, ZP_EINVAL, "token names member %" PRIu64 " twice",
                        ref.id);
      out->member[out->count++] = ref;
    }
  if (out->count == 2)
    return zp_fail (err, ZP_EINVAL, "token has 2 members, allowed are 1 or 3");
  return true;
}

static bool
unique_valid (struct zp_str s)
{
  if (s.len == 0 || s.len > OC_UNIQUE_MAX)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      char c = s.ptr[i];
      if (!((c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
            || (c >= '0' && c <= '9') || c == '-' || c == '_'))
        return false;
    }
  return true;
}

bool
oc_key_parse (struct zp_str key, struct oc_home *out, struct zp_err *err)
{
  struct zp_str token, unique;

  *out = (struct oc_home){ .count = 0 };
  if (key.len > ZP_KEY_MAX)
    return zp_fail (err, ZP_ELIMIT, "key of %zu bytes, at most %d allowed",
                    key.len, ZP_KEY_MAX);
  if (!zp_str_split (key, '.', &token, &unique) || !unique_valid (unique))
    return zp_fail (err, ZP_EINVAL,
                    "key is not TOKEN.UNIQUE with 1 to %d of A-Z a-z 0-9 - _ "
                    "as UNIQUE",
                    OC_UNIQUE_MAX);
  return oc_home_parse (token, out, err);
}
