#include "forward/suspects.h"

#include <stdlib.h>

#include "base/str.h"

void
fw_suspects_note (struct fw_suspects *s, uint64_t server, zp_time now)
{
  if (!s->entry)
    s->entry = zp_alloc (FW_SUSPECT_ENTRIES * sizeof *s->entry);
  s->entry[server % FW_SUSPECT_ENTRIES]
      = (struct fw_suspect){ .server = server,
                             .until = now + FW_SUSPECT_PERIOD };
}

bool
fw_suspects_has (const struct fw_suspects *s, uint64_t server, zp_time now)
{
  if (!s->entry)
    return false;
  const struct fw_suspect *x = &s->entry[server % FW_SUSPECT_ENTRIES];
  return x->server == server && now < x->until;
}

void
fw_suspects_free (struct fw_suspects *s)
{
  free (s->entry);
  s->entry = NULL;
}
