/* NAME
     leaves - backend servers that have left, in the replicated state

   DESCRIPTION
     Pure.  A server that has left must not get requests again because the
     daemons that knew were restarted.  Each acknowledged leave is therefore an
     entry of the replicated log, and is kept for TI_LEAVE_TTL, longer than a
     report of the server can be on its way.  It covers the starts of the server
     that were born up to LEFT_MS (see roster/table.h).  */

#ifndef ZP_TICKET_LEAVES_H
#define ZP_TICKET_LEAVES_H

#include <json-c/json.h>

#include "base/clock.h"
#include "base/limits.h"
#include "base/str.h"

/* A network partition can delay a report until it ends.  */
#define TI_LEAVE_TTL (600 * ZP_SEC)

/* Bounds the memory; the oldest is dropped first.  At 110 replacements a day
   of 420 machines, fewer than one is kept.  */
#define TI_LEAVES_MAX 4096

struct ti_leave
{
  char server[ZP_NAME_MAX]; /* id */
  uint64_t left_ms;         /* ms since 1970 */
  zp_time at;               /* time of the command */
};

struct ti_leaves
{
  struct ti_leave *item; /* in order of AT */
  size_t len, cap;
};

/* Adds LEAVE, or raises the LEFT_MS of its server.  */
void ti_leaves_put (struct ti_leaves *l, const struct ti_leave *leave);

/* Returns NULL when SERVER has no leave.  */
const struct ti_leave *ti_leaves_find (const struct ti_leaves *l,
                                       struct zp_str server);

/* Drops the leaves that are older than TI_LEAVE_TTL at NOW.  */
void ti_leaves_expire (struct ti_leaves *l, zp_time now);
void ti_leaves_free (struct ti_leaves *l);

/* Appends ',"leaves":[...]' to OUT, or nothing when there are none.  */
void ti_leaves_write (const struct ti_leaves *l, struct zp_buf *out);

/* Reads the member "leaves" of ROOT, which may be missing.  Returns false when
   it is malformed.  */
bool ti_leaves_read (struct ti_leaves *l, struct json_object *root);

/* The fields of one leave, without braces: '"server":...,"left_ms":...'.  */
void ti_leave_write (const struct ti_leave *leave, struct zp_buf *out);
bool ti_leave_read (struct ti_leave *leave, struct json_object *root);

#endif
