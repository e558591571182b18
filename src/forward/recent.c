#include "forward/recent.h"

#include <stdlib.h>

bool
fw_recent_note (struct fw_recent *r, struct zp_str id, struct zp_str server,
                zp_time now)
{
  uint64_t request = zp_str_hash (id, zp_str_hash (server, 0));

  if (!r->entry)
    r->entry = zp_alloc (FW_RECENT_ENTRIES * sizeof *r->entry);
  struct fw_recent_entry *e = &r->entry[request % FW_RECENT_ENTRIES];
  bool known = e->request == request && now - e->sent < FW_RECENT_PERIOD;
  *e = (struct fw_recent_entry){ .request = request, .sent = now };
  return known;
}

void
fw_recent_free (struct fw_recent *r)
{
  free (r->entry);
  r->entry = NULL;
}
