/* How much of an answer is read in one iteration of the event loop.  As long as
   servers send, libcurl does not return: it reads from each of them again and
   again.  Servers that send without end would keep the loop from all other
   work, such as the requests of other callers and the connections to the
   control daemons.  */

#include "base/log.h"
#include "forward/transfer.h"

/* Bytes of the body of one transfer in one iteration: 40 servers that flood
   take some milliseconds of it, and an answer of 8 MiB 128 iterations.  */
#define SLICE ((size_t) 64 * 1024)

/* Begins an iteration: goes on with the transfers that were paused.  */
static void
on_iteration (struct ev_loop *ev, ev_prepare *w, int events)
{
  struct fw_client *c = w->data;

  (void) ev;
  (void) events;
  c->turn++;
  if (c->paused == 0)
    return;
  for (struct fw_transfer *t = c->active.next, *next; t != &c->active;
       t = next)
    {
      next = t->next;
      if (!t->paused)
        continue;
      t->paused = false;
      c->paused--;
      /* Calls the write callback, which can pause T again, and has libcurl
         read on by a timer.  */
      curl_easy_pause (t->easy, CURLPAUSE_CONT);
    }
}

void
fw_pace_start (struct fw_client *c)
{
  ev_prepare_init (&c->iteration, on_iteration);
  c->iteration.data = c;
  ev_prepare_start (c->loop->ev, &c->iteration);
}

void
fw_pace_stop (struct fw_client *c)
{
  ev_prepare_stop (c->loop->ev, &c->iteration);
}

bool
fw_pace_allows (struct fw_transfer *t, size_t n)
{
  struct fw_client *c = t->client;

  if (t->turn != c->turn)
    {
      t->turn = c->turn;
      t->slice = 0;
    }
  if (t->slice < SLICE)
    {
      t->slice += n;
      return true;
    }
  c->paused += !t->paused;
  t->paused = true;
  return false;
}

void
fw_pace_forget (struct fw_transfer *t)
{
  t->client->paused -= t->paused;
  t->paused = false;
}

bool
fw_pace_has_excess (struct fw_transfer *t)
{
  const struct fw_framing *f = &t->answer.framing;
  uint64_t raw;

  if (f->state != FW_IN_BODY || f->body.kind != FW_BODY_CHUNKED
      || !fw_excess_received (t->fd, &raw)
      || !fw_excess_check (&t->excess, raw, t->received))
    return false;
  zp_log (ZP_LOG_WARNING, "forward",
          "the answer from %s to request %.*s has too many bytes between its "
          "chunks",
          t->request->u.forward.address,
          ZP_ARG (zp_str_of (&t->request->u.forward.request_id)));
  return true;
}
