#include "steer/trial.h"

#include <string.h>

bool
st_trial_quorum (const struct st_trial *t, const struct st_poison_member *m,
                 size_t n, uint64_t self)
{
  size_t votes = 0;
  uint64_t lowest = UINT64_MAX;
  bool lowest_votes = false;

  for (size_t i = 0; i < n; i++)
    {
      bool voted = t->granted[i] || m[i].id == self;
      if (m[i].live && !voted)
        return false;
      if (voted)
        votes++;
      if (m[i].id < lowest)
        {
          lowest = m[i].id;
          lowest_votes = voted;
        }
    }
  return votes * 2 > n || (votes * 2 == n && lowest_votes);
}

void
st_trial_members (struct st_trial *t, const struct st_poison_member *old,
                  size_t old_n, const struct st_poison_member *m, size_t n)
{
  bool granted[ST_POISON_MEMBERS_MAX] = { false };

  for (size_t i = 0; i < n; i++)
    for (size_t k = 0; k < old_n; k++)
      if (old[k].id == m[i].id)
        granted[i] = t->granted[k];
  memcpy (t->granted, granted, sizeof granted);
}
