#include "ledger/members.h"

#include <assert.h>
#include <string.h>

#include "ledger/bytes.h"

const struct lg_member *
lg_members_find (const struct lg_members *m, uint64_t id)
{
  for (size_t i = 0; i < m->len; i++)
    if (m->item[i].id == id)
      return &m->item[i];
  return NULL;
}

bool
lg_members_voter (const struct lg_members *m, uint64_t id)
{
  const struct lg_member *found = lg_members_find (m, id);

  return found && found->voter;
}

size_t
lg_members_voters (const struct lg_members *m)
{
  size_t n = 0;

  for (size_t i = 0; i < m->len; i++)
    n += m->item[i].voter;
  return n;
}

bool
lg_members_put (struct lg_members *m, uint64_t id, bool voter,
                struct zp_str address)
{
  struct lg_member new = { .id = id, .voter = voter };

  if (id == 0 || !zp_str_copy (new.address, sizeof new.address, address))
    return false;
  for (size_t i = 0; i < m->len; i++)
    if (m->item[i].id == id)
      {
        m->item[i] = new;
        return true;
      }
  if (m->len == LG_MEMBERS_MAX)
    return false;
  m->item[m->len++] = new;
  return true;
}

void
lg_members_remove (struct lg_members *m, uint64_t id)
{
  for (size_t i = 0; i < m->len; i++)
    if (m->item[i].id == id)
      {
        m->item[i] = m->item[--m->len];
        return;
      }
}

void
lg_members_encode (const struct lg_members *m, struct zp_buf *out)
{
  assert (m->len <= LG_MEMBERS_MAX);
  lg_put_u64 (out, m->formed_term);
  lg_put_u8 (out, (uint8_t) m->len);
  for (size_t i = 0; i < m->len; i++)
    {
      lg_put_u64 (out, m->item[i].id);
      lg_put_u8 (out, m->item[i].voter);
      lg_put_bytes (out, zp_str_from (m->item[i].address));
    }
}

bool
lg_members_decode (struct lg_members *m, struct zp_str bytes)
{
  uint8_t n;

  *m = (struct lg_members){ .len = 0 };
  if (!lg_take_u64 (&bytes, &m->formed_term) || !lg_take_u8 (&bytes, &n)
      || n > LG_MEMBERS_MAX)
    return false;
  for (uint8_t i = 0; i < n; i++)
    {
      uint64_t id;
      uint8_t voter;
      struct zp_str address;

      if (!lg_take_u64 (&bytes, &id) || !lg_take_u8 (&bytes, &voter)
          || voter > 1 || !lg_take_bytes (&bytes, &address)
          || lg_members_find (m, id)
          || !lg_members_put (m, id, voter, address))
        return false;
    }
  return bytes.len == 0;
}
