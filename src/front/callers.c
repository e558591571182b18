#include "front/callers.h"

#include <stdlib.h>
#include <sys/socket.h>

#include "base/err.h"
#include "base/str.h"

struct fr_caller *
fr_caller_new (struct fr_callers *c, int fd, zp_time now)
{
  struct fr_caller *x = zp_alloc (sizeof *x);

  *x = (struct fr_caller){ .next = c->first, .fd = fd, .since = now };
  if (c->first)
    c->first->prev = x;
  c->first = x;
  return x;
}

void
fr_caller_free (struct fr_callers *c, struct fr_caller *x)
{
  if (x->next)
    x->next->prev = x->prev;
  if (x->prev)
    x->prev->next = x->next;
  else
    c->first = x->next;
  free (x);
}

void
fr_caller_set (struct fr_caller *x, enum fr_caller_phase phase, zp_time now)
{
  if (x->phase == FR_CALLER_SHUT)
    return;
  x->phase = phase;
  x->since = now;
}

void
fr_caller_expect_body (struct fr_caller *x, zp_time due)
{
  if (x->phase == FR_CALLER_SHUT)
    return;
  x->phase = FR_CALLER_BODY;
  x->due = due;
}

static bool
has_bytes (int fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static bool
is_late (const struct fr_caller *x, zp_time idle, zp_time head, zp_time now)
{
  switch (x->phase)
    {
    case FR_CALLER_IDLE:
      return idle > 0 && now - x->since > idle && !has_bytes (x->fd);
    case FR_CALLER_HEAD:
      return head > 0 && now - x->since > head && !has_bytes (x->fd);
    case FR_CALLER_BODY:
      return now >= x->due;
    case FR_CALLER_BUSY:
    case FR_CALLER_SHUT:
      break;
    }
  return false;
}

void
fr_callers_check (const struct fr_callers *c, zp_time idle, zp_time head,
                  zp_time now)
{
  for (struct fr_caller *x = c->first; x; x = x->next)
    if (is_late (x, idle, head, now))
      {
        x->phase = FR_CALLER_SHUT;
        shutdown (x->fd, SHUT_RDWR);
      }
}
