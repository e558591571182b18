/* NAME
     quota-fixture - holders and an owner of limits that exchange late messages

   DESCRIPTION
     Advances the real code in steps of true time.  Every holder has a clock of
     its own.  Requests are independent random arrivals.  A test brings the
     failures about through the fields of the structures.  */

#ifndef ZP_TESTS_QUOTA_FIXTURE_H
#define ZP_TESTS_QUOTA_FIXTURE_H

#include <math.h>
#include <stdlib.h>

#include "quota/holder.h"
#include "quota/owner.h"
#include "seeds.h"

enum
{
  QF_STEP_MS = 5,
  QF_HOLDERS = 32,
  QF_LIMITS = 8,
  QF_WAITING = 256, /* requests of a workspace at a holder */
  QF_MESSAGES = 20000,
};

/* Requests that wait, oldest first, by the times when they give up.  */
struct qf_queue
{
  zp_time until[QF_WAITING];
  size_t len;
};

struct qf_holder
{
  struct qu_holder *core; /* NULL: not started */
  double clock_rate;      /* of its clock, about 1 */
  zp_time clock_offset;
  zp_time frozen_until, cut_until; /* true time */
  struct qu_limit known[QF_LIMITS];
  bool outdated; /* a change of the limits has not arrived */
  double weight; /* its part of all requests */
  struct qf_queue queue[QF_LIMITS];
};

struct qf_message
{
  zp_time due;
  unsigned holder;
  bool is_grant;
  union
  {
    struct tk_quota_ask ask;
    struct tk_quota_grant grant;
  } u;
};

/* Results of the requests of a workspace.  */
struct qf_counts
{
  uint64_t all, spent, waited, exhausted, unknown, timeouts;
};

struct qf
{
  struct zp_rng rng;
  zp_time now; /* true time */
  unsigned holders;
  struct qf_holder holder[QF_HOLDERS];
  uint64_t incarnations;
  struct qu_owner *owner; /* NULL: none; the test frees it */
  double owner_rate;      /* of its clock */
  zp_time owner_offset;
  struct qf_message message[QF_MESSAGES];
  size_t messages;
  double lost, late; /* probabilities; late ones by up to 3 s */
  zp_time latency;   /* one-way */
  struct qu_limit limit[QF_LIMITS];
  double demand[QF_LIMITS]; /* requests a second of all holders */
  unsigned limits;
  struct qf_counts counts[QF_LIMITS];
  unsigned spent[QF_LIMITS]; /* in this step */
  uint64_t asks, items;
};

static inline zp_time
qf_clock (const struct qf *f, const struct qf_holder *h)
{
  return (zp_time) ((double) f->now * h->clock_rate) + h->clock_offset;
}

static inline zp_time
qf_owner_clock (const struct qf *f)
{
  return (zp_time) ((double) f->now * f->owner_rate) + f->owner_offset;
}

/* Starts holder I, also again.  */
static inline void
qf_start (struct qf *f, unsigned i)
{
  struct qf_holder *h = &f->holder[i];

  qu_holder_free (h->core);
  h->core = qu_holder_new (i + 1, ++f->incarnations);
  qu_holder_set_limits (h->core, f->limit, f->limits, qf_clock (f, h));
  memcpy (h->known, f->limit, sizeof h->known);
  h->outdated = false;
  h->frozen_until = h->cut_until = 0;
  memset (h->queue, 0, sizeof h->queue);
}

static inline void
qf_open (struct qf *f, uint32_t seed, unsigned holders)
{
  memset (f, 0, sizeof *f);
  zp_rng_seed (&f->rng, seed);
  f->now = 100 * ZP_SEC;
  f->holders = holders;
  f->latency = 55 * ZP_MS;
  f->owner_rate = 1;
  for (unsigned i = 0; i < holders; i++)
    f->holder[i]
        = (struct qf_holder){ .clock_rate = 1, .weight = 1.0 / holders };
}

static inline void
qf_free_message (struct qf_message *m)
{
  free (m->is_grant ? (void *) m->u.grant.item : (void *) m->u.ask.item);
}

static inline void
qf_close (struct qf *f)
{
  for (unsigned i = 0; i < f->holders; i++)
    qu_holder_free (f->holder[i].core);
  for (size_t i = 0; i < f->messages; i++)
    qf_free_message (&f->message[i]);
}

/* Sends M, which can be lost or late.  */
static inline void
qf_send (struct qf *f, struct qf_message m)
{
  if (chance (&f->rng, f->lost) || f->messages == QF_MESSAGES
      || f->holder[m.holder].cut_until > f->now)
    {
      qf_free_message (&m);
      return;
    }
  m.due = f->now + f->latency
          + (zp_time) (zp_rng_unit (&f->rng) * 4 * (double) ZP_MS);
  if (chance (&f->rng, f->late))
    m.due += (zp_time) (zp_rng_unit (&f->rng) * 3 * (double) ZP_SEC);
  f->message[f->messages++] = m;
}

/* Counts decision D; returns whether the request goes on waiting.  */
static inline bool
qf_count (struct qf *f, unsigned limit, struct qu_decision d)
{
  switch (d.kind)
    {
    case QU_SPEND:
      f->counts[limit].spent++;
      f->spent[limit]++;
      return false;
    case QU_WAIT:
      return true;
    case QU_EXHAUSTED:
      f->counts[limit].exhausted++;
      return false;
    case QU_UNKNOWN:
      f->counts[limit].unknown++;
      return false;
    }
  return false;
}

/* Retries the waiting requests of H after a grant.  */
static inline void
qf_retry (struct qf *f, struct qf_holder *h)
{
  for (unsigned w = 0; w < f->limits; w++)
    {
      struct qf_queue *q = &h->queue[w];
      size_t kept = 0;
      for (size_t i = 0; i < q->len; i++)
        if (qf_count (f, w,
                      qu_holder_retry (h->core, f->limit[w].workspace,
                                       qf_clock (f, h), &f->rng)))
          q->until[kept++] = q->until[i];
      q->len = kept;
    }
}

static inline void
qf_deliver (struct qf *f, struct qf_message *m)
{
  struct qf_holder *h = &f->holder[m->holder];
  struct qf_message out = { .holder = m->holder, .is_grant = true };

  if (m->is_grant)
    {
      if (h->core && qu_holder_grant (h->core, &m->u.grant, qf_clock (f, h)))
        qf_retry (f, h);
    }
  else if (f->owner
           && qu_owner_ask (f->owner, &m->u.ask, qf_owner_clock (f),
                            &out.u.grant))
    qf_send (f, out);
  qf_free_message (m);
}

/* Messages for a holder that is frozen stay in its socket.  */
static inline void
qf_deliver_all (struct qf *f)
{
  for (size_t i = 0; i < f->messages;)
    {
      struct qf_message m = f->message[i];
      if (m.due > f->now
          || (m.is_grant && f->holder[m.holder].frozen_until > f->now))
        {
          i++;
          continue;
        }
      f->message[i] = f->message[--f->messages];
      qf_deliver (f, &m);
    }
}

/* Requests that arrive at H in a step, and those that give up.  */
static inline void
qf_requests (struct qf *f, struct qf_holder *h)
{
  zp_time now = qf_clock (f, h);

  for (unsigned w = 0; w < f->limits; w++)
    {
      struct qf_queue *q = &h->queue[w];
      uint64_t id = f->limit[w].workspace;
      size_t gone = 0;
      while (gone < q->len && q->until[gone] <= f->now)
        {
          qu_holder_cancel_wait (h->core, id);
          f->counts[w].timeouts++;
          gone++;
        }
      q->len -= gone;
      memmove (q->until, q->until + gone, q->len * sizeof *q->until);

      double mean = f->demand[w] * h->weight * QF_STEP_MS / 1000;
      for (double p = zp_rng_unit (&f->rng); p > exp (-mean);
           p *= zp_rng_unit (&f->rng))
        {
          f->counts[w].all++;
          if (q->len == QF_WAITING)
            continue;
          if (!qf_count (f, w, qu_holder_take (h->core, id, now, &f->rng)))
            {
              /* Some requests do not reach a server.  */
              if (f->lost > 0 && f->spent[w] > 0 && chance (&f->rng, 0.02))
                {
                  qu_holder_give_back (h->core, id, now);
                  f->spent[w]--;
                }
              continue;
            }
          f->counts[w].waited++;
          q->until[q->len++] = f->now + QU_WAIT_MAX;
        }
    }
}

/* Advances the true time by a step.  */
static inline void
qf_step (struct qf *f)
{
  f->now += QF_STEP_MS * ZP_MS;
  memset (f->spent, 0, sizeof f->spent);
  qf_deliver_all (f);
  for (unsigned i = 0; i < f->holders; i++)
    {
      struct qf_holder *h = &f->holder[i];
      struct qf_message m = { .holder = i };
      if (!h->core || h->frozen_until > f->now)
        continue;
      qf_requests (f, h);
      if (!qu_holder_make_ask (h->core, qf_clock (f, h), &m.u.ask))
        continue;
      f->asks++;
      f->items += m.u.ask.len;
      qf_send (f, m);
    }
}

#endif
