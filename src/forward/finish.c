/* How a transfer ends: what its answer is worth, and the message about it.  */

#include <stdlib.h>

#include "base/counter.h"
#include "base/log.h"
#include "forward/copy.h"
#include "forward/transfer.h"

#define PART "forward"

uint64_t
fw_transfer_server (const struct fw_transfer *t)
{
  return fw_pool_server (zp_str_from (t->request->u.forward.address));
}

void
fw_note_stray_bytes (struct fw_client *c, uint64_t server)
{
  zp_count (zp_counter ("zp_forward_stray_bytes_total", ""), 1);
  fw_suspects_note (&c->suspects, server, zp_clock_mono ());
}

enum tk_body_end
fw_transfer_body_end (const struct fw_transfer *t)
{
  const struct fw_framing *f = &t->answer.framing;

  if (f->state != FW_IN_BODY)
    return TK_BODY_UNKNOWN;
  switch (f->body.kind)
    {
    case FW_BODY_TO_CLOSE:
      return TK_BODY_TO_CLOSE;
    case FW_BODY_LENGTH:
      return TK_BODY_LENGTH;
    case FW_BODY_CHUNKED:
      return TK_BODY_CHUNKED;
    case FW_BODY_NONE:
      break;
    }
  return TK_BODY_NONE;
}

void
fw_transfer_drop_body (struct fw_transfer *t)
{
  struct zp_buf *body = &t->done->u.done.body;

  t->client->body_bytes -= body->len;
  zp_buf_free (body);
}

static void
transfer_unlink (struct fw_transfer *t)
{
  t->prev->next = t->next;
  t->next->prev = t->prev;
}

void
fw_transfer_free (struct fw_transfer *t)
{
  fw_proof_free (t);
  fw_pace_forget (t);
  fw_answer_free (&t->answer);
  curl_multi_remove_handle (t->client->multi, t->easy);
  curl_easy_cleanup (t->easy);
  curl_slist_free_all (t->headers);
  transfer_unlink (t);
  tk_msg_free (t->request);
  if (t->done)
    {
      fw_transfer_drop_body (t);
      tk_msg_free (t->done);
    }
  free (t);
}

/* Fills in what the log tells of an attempt and its connection.  */
static void
describe_end (const struct fw_transfer *t, struct tk_forward_done *d)
{
  long connects = 0;

  d->body_end = fw_transfer_body_end (t);
  d->received = t->received;
  d->head_bytes = t->answer.head_bytes;
  if (t->sends == 0)
    return;
  curl_easy_getinfo (t->easy, CURLINFO_NUM_CONNECTS, &connects);
  d->reused = connects == 0;
}

void
fw_transfer_finish (struct fw_transfer *t, enum tk_forward_end end,
                    enum zp_verdict verdict)
{
  struct fw_client *c = t->client;
  struct tk_msg *m = t->done;
  struct tk_forward_done *d = &m->u.done;

  if (end != TK_END_ANSWER)
    {
      fw_transfer_drop_body (t);
      zp_buf_clear (&d->headers);
      zp_buf_clear (&d->content_type);
      d->status = 0;
      d->leaving = false;
      d->stamped = false;
      d->load = (struct tk_server_load){ .known = false };
    }
  c->body_bytes -= d->body.len;
  describe_end (t, d);
  if (d->status != 503)
    d->retry_after = 0;
  t->done = NULL;
  d->end = end;
  d->verdict = verdict;
  d->elapsed = (t->ended > 0 ? t->ended : zp_clock_mono ()) - t->start;
  fw_transfer_free (t);
  tk_send (c->reply_to, m);
}

static void
count_answer (enum tk_body_end end)
{
  char labels[64];

  snprintf (labels, sizeof labels, "body_end=\"%.*s\"",
            ZP_ARG (tk_body_end_name (end)));
  zp_count (zp_counter ("zp_forward_answers_total", labels), 1);
}

/* Finishes T, whose answer has arrived whole.  */
static void
finish_answer (struct fw_transfer *t)
{
  struct tk_forward_done *d = &t->done->u.done;
  curl_off_t us = 0;

  d->status = t->answer.framing.status;
  if (!t->answer.reused)
    {
      curl_easy_getinfo (t->easy, CURLINFO_CONNECT_TIME_T, &us);
      d->connect = (zp_time) us;
    }
  count_answer (fw_transfer_body_end (t));
  fw_pool_note_answer (&t->client->pool, t->fd,
                       fw_answer_size (&t->answer, t->received),
                       zp_clock_mono ());
  fw_transfer_finish (t, TK_END_ANSWER,
                      fw_answer_verdict (&t->answer, d->status));
}

/* What the connection of T has brought behind its whole answer.  */
static struct fw_surplus
surplus_of (const struct fw_transfer *t)
{
  uint64_t size = fw_answer_size (&t->answer, t->received);
  uint64_t pending = t->pending;
  bool known = t->closed ? t->knows_pending
                         : fw_pool_pending (&t->client->pool, t->fd, &pending);

  if (!known)
    return (struct fw_surplus){ .kind = FW_SURPLUS_UNKNOWN };
  return (struct fw_surplus){ .kind = FW_SURPLUS_KNOWN,
                              .u.bytes = pending > size ? pending - size : 0 };
}

static bool
has_surplus (const struct fw_transfer *t)
{
  struct fw_surplus s = surplus_of (t);

  switch (s.kind)
    {
    case FW_SURPLUS_KNOWN:
      return s.u.bytes > 0;
    case FW_SURPLUS_UNKNOWN:
      break;
    }
  return false;
}

/* Counts and logs why an answer that has begun is not passed on.  */
static void
note_unusable (const struct fw_transfer *t, enum fw_answer_state state,
               CURLcode result)
{
  const char *address = t->request->u.forward.address;
  struct zp_str id = zp_str_of (&t->request->u.forward.request_id);

  switch (state)
    {
    case FW_ANSWER_WHOLE:
      return;
    case FW_ANSWER_FOREIGN:
      zp_count (zp_counter ("zp_forward_crossed_answers_total", ""), 1);
      zp_log (ZP_LOG_WARNING, PART,
              "dropped an answer from %s: it is not the answer to request "
              "%.*s that was sent",
              address, ZP_ARG (id));
      return;
    case FW_ANSWER_MALFORMED:
      zp_count (zp_counter ("zp_forward_malformed_answers_total", ""), 1);
      zp_log (ZP_LOG_WARNING, PART,
              "dropped an answer from %s to request %.*s: its head or a "
              "chunk is malformed or too long",
              address, ZP_ARG (id));
      return;
    case FW_ANSWER_SPLICED:
      zp_count (zp_counter ("zp_forward_spliced_answers_total", ""), 1);
      zp_log (ZP_LOG_WARNING, PART,
              "dropped an answer from %s to request %.*s: its body of %llu "
              "bytes has the begin of another answer, and %s",
              address, ZP_ARG (id), (unsigned long long) t->received,
              has_surplus (t) ? "more bytes follow" : "no bytes follow");
      return;
    case FW_ANSWER_CUT:
      if (t->answer.head_bytes == 0)
        return;
      zp_count (zp_counter ("zp_forward_cut_answers_total", ""), 1);
      zp_log (ZP_LOG_WARNING, PART,
              "dropped an answer from %s to request %.*s: it ended early, "
              "after %zu bytes of its head and %zu of its body: %s",
              address, ZP_ARG (id), t->answer.head_bytes,
              t->done->u.done.body.len, curl_easy_strerror (result));
      return;
    }
}

void
fw_transfer_finish_proof (struct fw_transfer *t, bool whole,
                          const char *reason)
{
  struct zp_str id = zp_str_of (&t->request->u.forward.request_id);

  zp_count (zp_counter ("zp_forward_unframed_answers_total",
                        whole ? "whole=\"yes\"" : "whole=\"no\""),
            1);
  zp_log (whole ? ZP_LOG_INFO : ZP_LOG_WARNING, PART,
          "%s an answer from %s to request %.*s that ended with its "
          "connection, after %llu bytes: %s",
          whole ? "passed on" : "dropped", t->request->u.forward.address,
          ZP_ARG (id), (unsigned long long) t->received, reason);
  if (whole && !t->crowded_out)
    {
      finish_answer (t);
      return;
    }
  t->done->u.done.unproved = true;
  fw_transfer_finish (t, TK_END_LOST, ZP_MAY_HAVE_RUN);
}

/* Whether the server of T, whose answer ended in STATE, has sent bytes that
   belong to no answer.  On a new connection a malformed answer is only
   spoiled.  */
static bool
shows_stray_bytes (const struct fw_transfer *t, enum fw_answer_state state)
{
  switch (state)
    {
    case FW_ANSWER_FOREIGN:
    case FW_ANSWER_SPLICED:
      return true;
    case FW_ANSWER_MALFORMED:
      return t->answer.reused;
    case FW_ANSWER_WHOLE:
    case FW_ANSWER_CUT:
      break;
    }
  return false;
}

static enum fw_answer_state
state_of (const struct fw_transfer *t, CURLcode result)
{
  bool ended = result == CURLE_OK || t->early;
  struct zp_str body = zp_str_of (&t->done->u.done.body);
  enum fw_answer_state state = fw_answer_state (&t->answer, ended, body.len);

  if (state == FW_ANSWER_WHOLE && fw_transfer_body_end (t) != TK_BODY_TO_CLOSE
      && fw_copy_completes (&t->answer, body, surplus_of (t)))
    return FW_ANSWER_SPLICED;
  return state;
}

void
fw_transfer_finish_by_result (struct fw_transfer *t, CURLcode result)
{
  enum fw_answer_state state = state_of (t, result);

  if (state == FW_ANSWER_WHOLE && !t->crowded_out)
    {
      t->ended = zp_clock_mono ();
      if (t->closed && has_surplus (t))
        fw_note_stray_bytes (t->client, fw_transfer_server (t));
      if (fw_transfer_body_end (t) == TK_BODY_TO_CLOSE)
        fw_proof_end_answer (t);
      else
        finish_answer (t);
      return;
    }
  note_unusable (t, state, result);
  if (shows_stray_bytes (t, state))
    fw_note_stray_bytes (t->client, fw_transfer_server (t));
  if (t->sends == 0)
    fw_transfer_finish (t,
                        zp_clock_mono () >= t->request->u.forward.deadline
                            ? TK_END_TIMEOUT
                            : TK_END_NO_CONNECT,
                        ZP_NOT_RUN);
  else
    fw_transfer_finish (
        t, result == CURLE_OPERATION_TIMEDOUT ? TK_END_TIMEOUT : TK_END_LOST,
        ZP_MAY_HAVE_RUN);
}
