#include "harness.h"

#include "ledger/codec.h"
#include "wire/frame.h"

/* Encodes and decodes M, and returns the result.  */
static struct lg_msg
round_trip (const struct lg_msg *m, uint8_t kind)
{
  struct zp_buf payload = { .ptr = NULL };
  struct lg_msg out;

  CU_ASSERT_EQUAL (lg_codec_encode (m, &payload), kind);
  CU_ASSERT_FATAL (lg_codec_decode (kind, zp_str_of (&payload), &out, NULL));
  CU_ASSERT_EQUAL (out.kind, m->kind);
  CU_ASSERT_EQUAL (out.from, m->from);
  CU_ASSERT_EQUAL (out.to, m->to);
  CU_ASSERT_EQUAL (out.term, m->term);
  zp_buf_free (&payload);
  return out;
}

/* This and the next two tests guard against a field that is lost or swapped
   with another by encoding or decoding.  */
static void
test_votes (void)
{
  struct lg_msg m = { .kind = LG_VOTE_REQUEST, .from = 1, .to = 2, .term = 9 };

  m.u.vote_request = (struct lg_vote_request){ .pre_vote = true,
                                               .voter = true,
                                               .last_index = 7,
                                               .last_term = 6,
                                               .formed_term = 1 };
  struct lg_msg r = round_trip (&m, WI_VOTE_ASK);
  CU_ASSERT (r.u.vote_request.pre_vote && r.u.vote_request.voter);
  CU_ASSERT_EQUAL (r.u.vote_request.last_index, 7);
  CU_ASSERT_EQUAL (r.u.vote_request.last_term, 6);
  CU_ASSERT_EQUAL (r.u.vote_request.formed_term, 1);
  m.kind = LG_VOTE_ANSWER;
  m.u.vote_answer = (struct lg_vote_answer){ .granted = true };
  r = round_trip (&m, WI_VOTE_ANSWER);
  CU_ASSERT (!r.u.vote_answer.pre_vote && r.u.vote_answer.granted);
}

static void
test_appends (void)
{
  struct lg_msg m = { .kind = LG_APPEND, .from = 1, .to = 2, .term = 9 };
  struct lg_entry e = { .index = 8,
                        .term = 9,
                        .kind = LG_ENTRY_DATA,
                        .bytes = zp_buf_from (ZP_STR ("a\0b")) };

  m.u.append = (struct lg_append){ .voter = true,
                                   .formed_term = 2,
                                   .prev_index = 7,
                                   .prev_term = 5,
                                   .commit = 4,
                                   .sent = -3 };
  lg_entries_add (&m.u.append.entries, &e);
  struct lg_msg r = round_trip (&m, WI_APPEND);
  const struct lg_append *a = &r.u.append;
  CU_ASSERT (a->voter);
  CU_ASSERT (a->formed_term == 2 && a->prev_index == 7 && a->prev_term == 5);
  CU_ASSERT (a->commit == 4 && a->sent == -3);
  CU_ASSERT_EQUAL_FATAL (a->entries.len, 1);
  CU_ASSERT (a->entries.item[0].index == 8 && a->entries.item[0].term == 9);
  CU_ASSERT_EQUAL (a->entries.item[0].kind, LG_ENTRY_DATA);
  CU_ASSERT (
      zp_str_eq (zp_str_of (&a->entries.item[0].bytes), ZP_STR ("a\0b")));
  lg_msg_clear (&r);
  lg_msg_clear (&m);
  zp_buf_free (&e.bytes);

  m.kind = LG_APPEND_ANSWER;
  m.u.append_answer = (struct lg_append_answer){
    .ok = true, .prev_index = 7, .match = 8, .sent = 11
  };
  r = round_trip (&m, WI_APPEND_ANSWER);
  CU_ASSERT (r.u.append_answer.ok && r.u.append_answer.prev_index == 7);
  CU_ASSERT (r.u.append_answer.match == 8 && r.u.append_answer.sent == 11);
}

static void
test_snapshots (void)
{
  struct lg_msg m = { .kind = LG_SNAPSHOT, .from = 1, .to = 2, .term = 9 };

  m.u.snapshot
      = (struct lg_snapshot_chunk){ .voter = true,
                                    .formed_term = 2,
                                    .index = 70,
                                    .last_term = 8,
                                    .total = 9,
                                    .hash = UINT64_MAX,
                                    .offset = 3,
                                    .sent = 5,
                                    .bytes = zp_buf_from (ZP_STR ("chunk")) };
  lg_members_put (&m.u.snapshot.members, 4, true, ZP_STR ("127.0.0.1:4"));
  struct lg_msg r = round_trip (&m, WI_SNAPSHOT);
  const struct lg_snapshot_chunk *s = &r.u.snapshot;
  CU_ASSERT (s->voter && s->formed_term == 2 && s->index == 70);
  CU_ASSERT (s->last_term == 8 && s->total == 9 && s->hash == UINT64_MAX);
  CU_ASSERT (s->offset == 3 && s->sent == 5);
  CU_ASSERT (lg_members_voter (&s->members, 4));
  CU_ASSERT (zp_str_eq (zp_str_of (&s->bytes), ZP_STR ("chunk")));
  lg_msg_clear (&r);
  lg_msg_clear (&m);

  m.kind = LG_SNAPSHOT_ANSWER;
  m.u.snapshot_answer = (struct lg_snapshot_answer){
    .index = 70, .offset = 8, .done = true, .sent = 5
  };
  r = round_trip (&m, WI_SNAPSHOT_ANSWER);
  CU_ASSERT (r.u.snapshot_answer.index == 70 && r.u.snapshot_answer.done);
  CU_ASSERT (r.u.snapshot_answer.offset == 8 && r.u.snapshot_answer.sent == 5);
}

/* Guards against decoded numbers that make sums in the core overflow, and
   against payloads of another kind or protocol.  */
static void
test_bad_payloads (void)
{
  struct lg_msg m = { .kind = LG_APPEND, .from = 1, .to = 2, .term = 9 };
  struct zp_buf payload = { .ptr = NULL };
  struct lg_msg out;
  struct zp_err err;

  m.u.append = (struct lg_append){ .prev_index = UINT64_MAX };
  lg_codec_encode (&m, &payload);
  CU_ASSERT (!lg_codec_decode (WI_APPEND, zp_str_of (&payload), &out, &err));
  CU_ASSERT (!lg_codec_decode (WI_HELLO, zp_str_of (&payload), &out, &err));
  CU_ASSERT (!lg_codec_decode (WI_APPEND, ZP_STR ("\377\377"), &out, &err));
  CU_ASSERT_EQUAL (err.code, ZP_EINVAL);
  zp_buf_free (&payload);
}

static const struct zp_test tests[]
    = { { "vote messages", test_votes },
        { "append messages", test_appends },
        { "snapshot messages", test_snapshots },
        { "invalid payloads are refused", test_bad_payloads } };

TEST_MAIN ("ledger-codec", tests)
