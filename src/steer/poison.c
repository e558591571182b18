#include "steer/poison.h"

#include <assert.h>
#include <stdlib.h>

#include <xxhash.h>

#include "base/limits.h"
#include "steer/fingerprint.h"
#include "steer/trial.h"

#define TRIALS_MAX 64 /* at one time */
/* Time until missing votes are requested again; doubles up to the maximum.  */
#define VOTE_RETRY (100 * ZP_MS)
#define VOTE_RETRY_MAX (1 * ZP_SEC)
/* A trial that has not begun is abandoned when no request has needed it for
   this long.  */
#define TRIAL_IDLE (1 * ZP_SEC)
/* A vote is kept at least this long, which is longer than the longest
   trial.  */
#define VOTE_TTL_MIN (ZP_DEADLINE_MAX + ST_POISON_LINGER + 10 * ZP_SEC)

struct run
{
  uint32_t entry; /* index in the table of fingerprints; ST_NO_INDEX: unused */
  uint32_t generation;
  uint32_t next; /* in the list of free or of lingering runs */
  uint64_t server;
  uint64_t trial; /* id; 0: none */
  bool proven;    /* the fingerprint was proven when the run began */
  bool lingers;   /* ended with ST_RUN_UNKNOWN, kept until UNTIL */
  zp_time until;
};

struct st_poison
{
  uint64_t self;
  uint64_t seq; /* number of the last trial */
  struct st_fp_table table;
  uint32_t run_max;
  uint32_t free_run;
  struct run *runs;
  uint32_t linger_first, linger_last;
  struct st_trial trials[TRIALS_MAX];
  struct st_poison_member members[ST_POISON_MEMBERS_MAX];
  size_t member_count;
  struct st_poison_message *out;
  size_t out_first, out_len, out_cap;
};

/* Queue of reports to send.  */

/* Queues a report for member TO; 0: for all other daemons of the region.  */
static void
queue_report (struct st_poison *p, uint64_t to, enum st_poison_kind kind,
              const struct st_fp_entry *e, uint64_t seq, zp_time now)
{
  if (p->out_len == p->out_cap)
    {
      p->out_cap = p->out_cap > 0 ? p->out_cap * 2 : 16;
      p->out = zp_realloc (p->out, p->out_cap * sizeof *p->out);
    }
  struct st_poison_message *s = &p->out[p->out_len++];
  *s = (struct st_poison_message){ .to = to,
                                   .report = { .kind = kind,
                                               .fp = e->fp,
                                               .origin = p->self,
                                               .seq = seq,
                                               .losses = e->losses } };
  for (uint32_t i = 0; i < e->losses; i++)
    {
      s->report.loss[i] = e->loss[i];
      s->report.loss[i].age = now - e->loss[i].age;
    }
}

bool
st_poison_next_report (struct st_poison *p, struct st_poison_message *out)
{
  if (p->out_first == p->out_len)
    {
      p->out_first = p->out_len = 0;
      return false;
    }
  *out = p->out[p->out_first++];
  return true;
}

struct st_poison *
st_poison_new (uint64_t self, uint32_t runs)
{
  struct st_poison *p = zp_alloc (sizeof *p);

  assert (self != 0 && runs > 0 && runs <= UINT32_MAX / 8);
  p->self = self;
  st_fp_table_init (&p->table, runs * 4 + TRIALS_MAX);
  p->run_max = runs;
  p->runs = zp_alloc (runs * sizeof *p->runs);
  for (uint32_t i = 0; i < runs; i++)
    p->runs[i] = (struct run){ .entry = ST_NO_INDEX,
                               .next = i + 1 < runs ? i + 1 : ST_NO_INDEX };
  for (int i = 0; i < TRIALS_MAX; i++)
    p->trials[i].entry = ST_NO_INDEX;
  p->linger_first = p->linger_last = ST_NO_INDEX;
  p->members[0] = (struct st_poison_member){ .id = self, .live = true };
  p->member_count = 1;
  return p;
}

void
st_poison_free (struct st_poison *p)
{
  st_fp_table_free (&p->table);
  free (p->runs);
  free (p->out);
  free (p);
}

size_t
st_poison_len (const struct st_poison *p)
{
  return p->table.len;
}

/* End of trials.  */

static struct st_trial *
find_trial (struct st_poison *p, const struct st_fp_entry *e)
{
  return e->trial == ST_NO_INDEX ? NULL : &p->trials[e->trial];
}

static void
free_trial (struct st_fp_entry *e, struct st_trial *t)
{
  t->entry = ST_NO_INDEX;
  e->trial = ST_NO_INDEX;
}

/* Records that the request was answered; ends a trial of this daemon.  */
static void
prove (struct st_poison *p, struct st_fp_entry *e, zp_time now)
{
  if (e->trial != ST_NO_INDEX)
    free_trial (e, find_trial (p, e));
  st_fp_prove (e, now);
}

/* Ends a trial of this daemon and returns the votes.  */
static void
end_trial (struct st_poison *p, struct st_fp_entry *e, zp_time now)
{
  struct st_trial *t = find_trial (p, e);

  if (!t)
    return;
  queue_report (p, 0, ST_POISON_TRIAL_END, e, t->seq, now);
  free_trial (e, t);
  if (e->vote == p->self)
    e->vote = 0;
}

/* Runs.  */

/* The id of a trial: unique in the region and never 0.  */
static uint64_t
trial_id (uint64_t self, uint64_t seq)
{
  uint64_t key[] = { self, seq };

  return XXH64 (key, sizeof key, 0) | 1;
}

static void
release_run (struct st_poison *p, struct run *r, zp_time now)
{
  struct st_fp_entry *e = &p->table.entries[r->entry];

  assert (e->runs > 0);
  e->runs--;
  if (r->trial != 0 && e->kind != ST_FP_PROVEN)
    end_trial (p, e, now);
  r->entry = ST_NO_INDEX;
  r->generation++;
  r->next = p->free_run;
  p->free_run = (uint32_t) (r - p->runs);
  if (e->runs == 0 && e->kind == ST_FP_NEW)
    st_fp_table_remove (&p->table, e);
}

void
st_poison_server_lost (struct st_poison *p, uint64_t server, zp_time now)
{
  for (uint32_t i = 0; i < p->run_max; i++)
    {
      struct run *r = &p->runs[i];
      if (r->entry == ST_NO_INDEX || r->server != server)
        continue;
      struct st_fp_entry *e = &p->table.entries[r->entry];
      if (r->proven)
        st_fp_suspect (e, now + ST_POISON_TTL);
      else if (st_fp_add_loss (e, server, r->trial, now))
        queue_report (p, 0, ST_POISON_UPDATE, e, 0, now);
    }
}

struct st_run_ref
st_poison_run_begin (struct st_poison *p, struct st_fp fp, uint64_t server,
                     zp_time now)
{
  struct st_fp_entry *e = st_fp_table_add (&p->table, fp, now);
  struct st_trial *t = find_trial (p, e);
  uint32_t slot = p->free_run;

  assert (slot != ST_NO_INDEX && e->kind != ST_FP_POISON);
  assert (e->kind != ST_FP_NEW || e->runs == 0 || e->server == server);
  struct run *r = &p->runs[slot];
  p->free_run = r->next;
  *r = (struct run){ .entry = (uint32_t) (e - p->table.entries),
                     .generation = r->generation,
                     .server = server,
                     .proven = e->kind == ST_FP_PROVEN };
  if (e->kind == ST_FP_SUSPECT)
    {
      assert (e->runs == 0 && (e->losses == 0 || t));
      r->trial = trial_id (p->self, t ? t->seq : ++p->seq);
      if (t)
        t->running = true;
    }
  if (e->runs++ == 0)
    e->since = now;
  e->server = server;
  return (struct st_run_ref){ .slot = slot, .generation = r->generation };
}

static void
linger (struct st_poison *p, struct run *r, zp_time now)
{
  uint32_t slot = (uint32_t) (r - p->runs);

  r->lingers = true;
  r->until = now + ST_POISON_LINGER;
  r->next = ST_NO_INDEX;
  if (p->linger_last == ST_NO_INDEX)
    p->linger_first = slot;
  else
    p->runs[p->linger_last].next = slot;
  p->linger_last = slot;
}

void
st_poison_run_end (struct st_poison *p, struct st_run_ref ref,
                   enum st_run_end end, zp_time now)
{
  assert (ref.slot < p->run_max);
  struct run *r = &p->runs[ref.slot];
  assert (r->entry != ST_NO_INDEX && r->generation == ref.generation
          && !r->lingers);
  struct st_fp_entry *e = &p->table.entries[r->entry];

  switch (end)
    {
    case ST_RUN_ANSWERED:
      if (e->losses > 0)
        queue_report (p, 0, ST_POISON_CLEAR, e, 0, now);
      prove (p, e, now);
      break;
    case ST_RUN_NOT_RUN:
      break;
    case ST_RUN_LOST:
      st_poison_server_lost (p, r->server, now);
      break;
    case ST_RUN_UNKNOWN:
      if (r->proven)
        break;
      linger (p, r, now);
      return;
    }
  release_run (p, r, now);
}

/* Trials.  */

static struct st_trial *
start_trial (struct st_poison *p, struct st_fp_entry *e)
{
  for (int i = 0; i < TRIALS_MAX; i++)
    if (p->trials[i].entry == ST_NO_INDEX)
      {
        p->trials[i]
            = (struct st_trial){ .entry = (uint32_t) (e - p->table.entries),
                                 .seq = ++p->seq,
                                 .request_period = VOTE_RETRY };
        e->vote = p->self;
        e->trial = (uint32_t) i;
        return &p->trials[i];
      }
  return NULL;
}

/* Whether the suspect E can run in a trial now.  Requests the missing votes if
   not.  */
static bool
may_run_trial (struct st_poison *p, struct st_fp_entry *e, zp_time now)
{
  if (e->losses == 0)
    return true; /* suspect at this daemon only; no vote needed */
  if (e->vote != 0 && e->vote != p->self)
    return false;
  struct st_trial *t = find_trial (p, e);
  if (!t)
    t = start_trial (p, e);
  if (!t)
    return false;
  t->wanted = now;
  if (st_trial_quorum (t, p->members, p->member_count, p->self))
    return true;
  if (now < t->request_at)
    return false;
  t->request_at = now + t->request_period;
  if (t->request_period < VOTE_RETRY_MAX)
    t->request_period *= 2;
  for (size_t i = 0; i < p->member_count; i++)
    if (p->members[i].live && p->members[i].id != p->self && !t->granted[i])
      queue_report (p, p->members[i].id, ST_POISON_VOTE_REQUEST, e, t->seq,
                    now);
  return false;
}

struct st_admit
st_poison_admit (struct st_poison *p, struct st_fp fp, zp_time now)
{
  struct st_fp_entry *e = st_fp_table_find (&p->table, fp, now);
  struct st_admit run = { .kind = ST_ADMIT_RUN };
  struct st_admit wait = { .kind = ST_ADMIT_WAIT };

  if (p->free_run == ST_NO_INDEX)
    return wait;
  if (!e)
    return run;
  wait.runs = e->runs;
  wait.since = e->since;
  switch (e->kind)
    {
    case ST_FP_FREE:
    case ST_FP_PROVEN:
      return run;
    case ST_FP_NEW:
      if (e->runs == 0)
        return run;
      return (struct st_admit){ .kind = ST_ADMIT_SAME_SERVER,
                                .runs = e->runs,
                                .since = e->since,
                                .u.server = e->server };
    case ST_FP_SUSPECT:
      if (e->runs > 0 || !may_run_trial (p, e, now))
        return wait;
      return (struct st_admit){ .kind = ST_ADMIT_ALONE };
    case ST_FP_POISON:
      return (struct st_admit){ .kind = ST_ADMIT_REFUSE, .u.until = e->until };
    }
  return wait;
}

void
st_poison_set_members (struct st_poison *p, const struct st_poison_member *m,
                       size_t n)
{
  assert (n > 0 && n <= ST_POISON_MEMBERS_MAX);
  for (int i = 0; i < TRIALS_MAX; i++)
    st_trial_members (&p->trials[i], p->members, p->member_count, m, n);
  for (size_t k = 0; k < n; k++)
    p->members[k] = m[k];
  p->member_count = n;
}

void
st_poison_tick (struct st_poison *p, zp_time now)
{
  while (p->linger_first != ST_NO_INDEX
         && p->runs[p->linger_first].until <= now)
    {
      struct run *r = &p->runs[p->linger_first];
      p->linger_first = r->next;
      if (p->linger_first == ST_NO_INDEX)
        p->linger_last = ST_NO_INDEX;
      release_run (p, r, now);
    }
  for (int i = 0; i < TRIALS_MAX; i++)
    {
      struct st_trial *t = &p->trials[i];
      if (t->entry != ST_NO_INDEX && !t->running
          && now - t->wanted > TRIAL_IDLE)
        end_trial (p, &p->table.entries[t->entry], now);
    }
}

/* Reports from other daemons.  */

static void
answer_vote_request (struct st_poison *p, struct st_fp_entry *e,
                     const struct st_poison_report *r, zp_time now)
{
  struct st_trial *own = find_trial (p, e);
  /* When two daemons request votes at once, the one with the higher id
     yields.  */
  bool yield = own && !own->running && r->origin < p->self;
  bool free = e->vote == 0 || e->vote == r->origin || yield;

  if (e->kind != ST_FP_SUSPECT || e->runs > 0 || !free)
    {
      queue_report (p, r->origin, ST_POISON_VOTE_DENY, e, r->seq, now);
      return;
    }
  if (yield)
    end_trial (p, e, now);
  e->vote = r->origin;
  e->vote_seq = r->seq;
  if (e->until < now + VOTE_TTL_MIN)
    e->until = now + VOTE_TTL_MIN;
  queue_report (p, r->origin, ST_POISON_VOTE_GRANT, e, r->seq, now);
}

static void
accept_vote (struct st_poison *p, const struct st_fp_entry *e,
             const struct st_poison_report *r)
{
  struct st_trial *t = find_trial (p, e);

  if (!t || t->seq != r->seq)
    return;
  for (size_t i = 0; i < p->member_count; i++)
    if (p->members[i].id == r->origin)
      t->granted[i] = true;
}

static struct st_fp_entry *
merge_losses (struct st_poison *p, const struct st_poison_report *r,
              zp_time now)
{
  struct st_fp_entry *e = st_fp_table_find (&p->table, r->fp, now);

  for (uint32_t i = 0; i < r->losses && i < ST_POISON_LOSSES; i++)
    {
      zp_time age = r->loss[i].age;
      if (age < 0 || age >= ST_POISON_TTL)
        continue;
      if (!e)
        e = st_fp_table_add (&p->table, r->fp, now);
      st_fp_add_loss (e, r->loss[i].server, r->loss[i].trial, now - age);
    }
  return e;
}

void
st_poison_merge (struct st_poison *p, const struct st_poison_report *r,
                 zp_time now)
{
  struct st_fp_entry *e;

  if (r->origin == p->self)
    return;
  if (r->kind == ST_POISON_CLEAR)
    {
      e = st_fp_table_find (&p->table, r->fp, now);
      if (e)
        prove (p, e, now);
      return;
    }
  e = merge_losses (p, r, now);
  if (!e)
    return;
  switch (r->kind)
    {
    case ST_POISON_UPDATE:
    case ST_POISON_VOTE_DENY:
    case ST_POISON_CLEAR:
      return;
    case ST_POISON_VOTE_REQUEST:
      answer_vote_request (p, e, r, now);
      return;
    case ST_POISON_VOTE_GRANT:
      accept_vote (p, e, r);
      return;
    case ST_POISON_TRIAL_END:
      if (e->vote == r->origin && e->vote_seq <= r->seq)
        e->vote = 0;
      return;
    }
}

void
st_poison_export (struct st_poison *p, uint64_t to, zp_time now)
{
  for (uint32_t i = 0; i < p->table.max; i++)
    {
      struct st_fp_entry *e = &p->table.entries[i];
      if (e->kind == ST_FP_FREE || e->losses == 0 || now >= e->until)
        continue;
      queue_report (p, to, ST_POISON_UPDATE, e, 0, now);
      /* Releases a vote for a trial whose end report was lost with the
         link.  */
      if (!find_trial (p, e))
        queue_report (p, to, ST_POISON_TRIAL_END, e, p->seq, now);
    }
}
