#include "ledger/codec.h"

#include <assert.h>
#include <stdlib.h>

#include "wire/bytes.h"
#include "wire/frame.h"

/* cppcheck does not read system headers, and the generated header refuses an
   unknown version of the library.  */
#include <protobuf-c/protobuf-c.h>
#include "wire/ledger.pb-c.h"

/* Larger indexes and terms are refused, so that sums never overflow.  */
#define NUMBER_MAX (UINT64_MAX / 4)

/* Encoding.  */

static ProtobufCBinaryData
data_of (struct zp_str s)
{
  return (ProtobufCBinaryData){ .len = s.len, .data = (uint8_t *) s.ptr };
}

/* Appends the packed MESSAGE to OUT.  */
static void
pack (const ProtobufCMessage *message, struct zp_buf *out)
{
  wi_pack (out, message);
  assert (out->len <= ZP_FRAME_MAX);
}

static void
encode_vote_ask (const struct lg_msg *m, struct zp_buf *out)
{
  const struct lg_vote_request *a = &m->u.vote_request;
  Ledger__VoteAsk p = LEDGER__VOTE_ASK__INIT;

  p.from = m->from;
  p.to = m->to;
  p.term = m->term;
  p.pre = a->pre_vote;
  p.voter = a->voter;
  p.last_index = a->last_index;
  p.last_term = a->last_term;
  p.formed = a->formed_term;
  pack (&p.base, out);
}

static void
encode_vote_answer (const struct lg_msg *m, struct zp_buf *out)
{
  Ledger__VoteAnswer p = LEDGER__VOTE_ANSWER__INIT;

  p.from = m->from;
  p.to = m->to;
  p.term = m->term;
  p.pre = m->u.vote_answer.pre_vote;
  p.granted = m->u.vote_answer.granted;
  pack (&p.base, out);
}

static void
encode_append (const struct lg_msg *m, struct zp_buf *out)
{
  const struct lg_append *a = &m->u.append;
  Ledger__Append p = LEDGER__APPEND__INIT;
  size_t n = a->entries.len;
  Ledger__Entry *entry = zp_alloc (n * sizeof *entry);

  p.from = m->from;
  p.to = m->to;
  p.term = m->term;
  p.voter = a->voter;
  p.formed = a->formed_term;
  p.prev_index = a->prev_index;
  p.prev_term = a->prev_term;
  p.commit = a->commit;
  p.sent = a->sent;
  p.n_entries = n;
  p.entries = zp_alloc (n * sizeof (void *));
  for (size_t i = 0; i < n; i++)
    {
      const struct lg_entry *e = &a->entries.item[i];
      ledger__entry__init (&entry[i]);
      entry[i].term = e->term;
      entry[i].kind = (uint32_t) e->kind;
      entry[i].data = data_of (zp_str_of (&e->bytes));
      p.entries[i] = &entry[i];
    }
  pack (&p.base, out);
  free (p.entries);
  free (entry);
}

static void
encode_append_answer (const struct lg_msg *m, struct zp_buf *out)
{
  const struct lg_append_answer *a = &m->u.append_answer;
  Ledger__AppendAnswer p = LEDGER__APPEND_ANSWER__INIT;

  p.from = m->from;
  p.to = m->to;
  p.term = m->term;
  p.ok = a->ok;
  p.prev_index = a->prev_index;
  p.match = a->match;
  p.sent = a->sent;
  pack (&p.base, out);
}

static void
encode_snapshot (const struct lg_msg *m, struct zp_buf *out)
{
  const struct lg_snapshot_chunk *s = &m->u.snapshot;
  Ledger__Snapshot p = LEDGER__SNAPSHOT__INIT;
  struct zp_buf members = { .ptr = NULL };

  lg_members_encode (&s->members, &members);
  p.from = m->from;
  p.to = m->to;
  p.term = m->term;
  p.voter = s->voter;
  p.formed = s->formed_term;
  p.index = s->index;
  p.last_term = s->last_term;
  p.members = data_of (zp_str_of (&members));
  p.total = s->total;
  p.hash = s->hash;
  p.offset = s->offset;
  p.sent = s->sent;
  p.data = data_of (zp_str_of (&s->bytes));
  pack (&p.base, out);
  zp_buf_free (&members);
}

static void
encode_snapshot_answer (const struct lg_msg *m, struct zp_buf *out)
{
  const struct lg_snapshot_answer *a = &m->u.snapshot_answer;
  Ledger__SnapshotAnswer p = LEDGER__SNAPSHOT_ANSWER__INIT;

  p.from = m->from;
  p.to = m->to;
  p.term = m->term;
  p.index = a->index;
  p.offset = a->offset;
  p.done = a->done;
  p.sent = a->sent;
  pack (&p.base, out);
}

uint8_t
lg_codec_encode (const struct lg_msg *m, struct zp_buf *out)
{
  switch (m->kind)
    {
    case LG_VOTE_REQUEST:
      encode_vote_ask (m, out);
      return WI_VOTE_ASK;
    case LG_VOTE_ANSWER:
      encode_vote_answer (m, out);
      return WI_VOTE_ANSWER;
    case LG_APPEND:
      encode_append (m, out);
      return WI_APPEND;
    case LG_APPEND_ANSWER:
      encode_append_answer (m, out);
      return WI_APPEND_ANSWER;
    case LG_SNAPSHOT:
      encode_snapshot (m, out);
      return WI_SNAPSHOT;
    case LG_SNAPSHOT_ANSWER:
      encode_snapshot_answer (m, out);
      return WI_SNAPSHOT_ANSWER;
    }
  abort ();
}

/* Decoding.  */

static struct zp_str
str_of (const ProtobufCBinaryData *d)
{
  return (struct zp_str){ .ptr = (const char *) d->data, .len = d->len };
}

static bool
decode_vote_ask (const Ledger__VoteAsk *p, struct lg_msg *m)
{
  m->from = p->from;
  m->to = p->to;
  m->term = p->term;
  m->u.vote_request = (struct lg_vote_request){ .pre_vote = p->pre,
                                                .voter = p->voter,
                                                .last_index = p->last_index,
                                                .last_term = p->last_term,
                                                .formed_term = p->formed };
  return p->last_index <= NUMBER_MAX && p->last_term <= m->term;
}

static bool
decode_vote_answer (const Ledger__VoteAnswer *p, struct lg_msg *m)
{
  m->from = p->from;
  m->to = p->to;
  m->term = p->term;
  m->u.vote_answer
      = (struct lg_vote_answer){ .pre_vote = p->pre, .granted = p->granted };
  return true;
}

static bool
decode_append (const Ledger__Append *p, struct lg_msg *m)
{
  m->from = p->from;
  m->to = p->to;
  m->term = p->term;
  m->u.append = (struct lg_append){ .voter = p->voter,
                                    .formed_term = p->formed,
                                    .prev_index = p->prev_index,
                                    .prev_term = p->prev_term,
                                    .commit = p->commit,
                                    .sent = p->sent };
  for (size_t i = 0; i < p->n_entries; i++)
    {
      const Ledger__Entry *from = p->entries[i];
      struct lg_entry e = { .index = p->prev_index + 1 + i,
                            .term = from->term,
                            .kind = (enum lg_entry_kind) from->kind };
      if (from->kind > LG_ENTRY_MEMBERS)
        return false;
      /* Borrows the bytes; lg_entries_add copies them.  */
      e.bytes = (struct zp_buf){ .ptr = (char *) from->data.data,
                                 .len = from->data.len };
      lg_entries_add (&m->u.append.entries, &e);
    }
  return p->prev_index <= NUMBER_MAX && p->prev_term <= m->term
         && p->commit <= NUMBER_MAX;
}

static bool
decode_append_answer (const Ledger__AppendAnswer *p, struct lg_msg *m)
{
  m->from = p->from;
  m->to = p->to;
  m->term = p->term;
  m->u.append_answer = (struct lg_append_answer){ .ok = p->ok,
                                                  .prev_index = p->prev_index,
                                                  .match = p->match,
                                                  .sent = p->sent };
  return p->match <= NUMBER_MAX;
}

static bool
decode_snapshot (const Ledger__Snapshot *p, struct lg_msg *m)
{
  m->from = p->from;
  m->to = p->to;
  m->term = p->term;
  m->u.snapshot
      = (struct lg_snapshot_chunk){ .voter = p->voter,
                                    .formed_term = p->formed,
                                    .index = p->index,
                                    .last_term = p->last_term,
                                    .total = p->total,
                                    .hash = p->hash,
                                    .offset = p->offset,
                                    .sent = p->sent,
                                    .bytes = zp_buf_from (str_of (&p->data)) };
  return p->index > 0 && p->index <= NUMBER_MAX && p->last_term <= m->term
         && lg_members_decode (&m->u.snapshot.members, str_of (&p->members));
}

static bool
decode_snapshot_answer (const Ledger__SnapshotAnswer *p, struct lg_msg *m)
{
  m->from = p->from;
  m->to = p->to;
  m->term = p->term;
  m->u.snapshot_answer = (struct lg_snapshot_answer){
    .index = p->index, .offset = p->offset, .done = p->done, .sent = p->sent
  };
  return true;
}

/* Unpacks a message of one type and passes it to its decode function.  */
#define DECODE(type, name)                                                    \
  do                                                                          \
    {                                                                         \
      Ledger__##type *p = ledger__##name##__unpack (                          \
          NULL, payload.len, (const uint8_t *) payload.ptr);                  \
      ok = p && decode_##name (p, m);                                         \
      if (p)                                                                  \
        ledger__##name##__free_unpacked (p, NULL);                            \
    }                                                                         \
  while (0)

bool
lg_codec_decode (uint8_t kind, struct zp_str payload, struct lg_msg *m,
                 struct zp_err *err)
{
  bool ok = false;

  *m = (struct lg_msg){ .kind = LG_VOTE_REQUEST };
  switch (kind)
    {
    case WI_VOTE_ASK:
      m->kind = LG_VOTE_REQUEST;
      DECODE (VoteAsk, vote_ask);
      break;
    case WI_VOTE_ANSWER:
      m->kind = LG_VOTE_ANSWER;
      DECODE (VoteAnswer, vote_answer);
      break;
    case WI_APPEND:
      m->kind = LG_APPEND;
      DECODE (Append, append);
      break;
    case WI_APPEND_ANSWER:
      m->kind = LG_APPEND_ANSWER;
      DECODE (AppendAnswer, append_answer);
      break;
    case WI_SNAPSHOT:
      m->kind = LG_SNAPSHOT;
      DECODE (Snapshot, snapshot);
      break;
    case WI_SNAPSHOT_ANSWER:
      m->kind = LG_SNAPSHOT_ANSWER;
      DECODE (SnapshotAnswer, snapshot_answer);
      break;
    default:
      break;
    }
  if (ok && m->term <= NUMBER_MAX)
    return true;
  lg_msg_clear (m);
  *m = (struct lg_msg){ .kind = LG_VOTE_REQUEST };
  return zp_fail (err, ZP_EINVAL, "not a valid ledger message of kind %u",
                  kind);
}
