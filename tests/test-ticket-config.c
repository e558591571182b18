#include "harness.h"

#include <stdlib.h>

#include "base/rng.h"
#include "ticket/conflict.h"

/* Applies the edit TEXT to C under the next number, at time NOW.  */
static void
put (struct ti_config *c, zp_time now, const char *text)
{
  struct zp_buf whole = { .ptr = NULL };
  struct zp_err err = { .text = "" };

  zp_buf_printf (&whole,
                 "{\"index\":%llu,\"time\":%lld,\"number\":%llu,\"digest\":"
                 "\"%064d\",%s}",
                 (unsigned long long) c->index + 2, (long long) now,
                 (unsigned long long) c->number + 1, 0, text);
  struct ti_change *change = ti_change_decode (zp_str_of (&whole), &err);
  if (!change)
    printf ("%s\n", err.text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (change);
  CU_ASSERT_FATAL (ti_config_apply (c, change, &err));
  ti_change_free (change);
  zp_buf_free (&whole);
}

static void
put_site (struct ti_config *c, zp_time now, const char *name,
          const char *domain)
{
  char text[200];

  snprintf (text, sizeof text,
            "\"set\":{\"site/%s\":{\"failure_domain\":\"%s\"}}", name, domain);
  put (c, now, text);
}

static struct ti_key
key_of (const char *text)
{
  struct ti_key key;

  CU_ASSERT_FATAL (ti_key_parse (zp_str_from (text), &key, NULL));
  return key;
}

static bool
has (const struct ti_config *c, const char *text)
{
  struct ti_key key = key_of (text);

  return ti_config_find (c, &key) != NULL;
}

static bool
same_bytes (const struct ti_config *a, const struct ti_config *b)
{
  struct zp_buf x = { .ptr = NULL }, y = { .ptr = NULL };

  ti_config_encode (a, &x);
  ti_config_encode (b, &y);
  bool same = zp_str_eq (zp_str_of (&x), zp_str_of (&y));
  zp_buf_free (&x);
  zp_buf_free (&y);
  return same;
}

/* A configuration after CHANGES random sets and deletes of 30 names.  */
static struct ti_config *
random_config (uint32_t seed, unsigned changes)
{
  struct ti_config *c = ti_config_new ();
  _Alignas(16) struct zp_rng rng;

  zp_rng_seed (&rng, seed);
  for (unsigned i = 0; i < changes; i++)
    {
      char text[200];
      unsigned name = zp_rng_below (&rng, 30);
      if (zp_rng_below (&rng, 3) == 0)
        snprintf (text, sizeof text, "\"delete\":[\"drain/d%u\"]", name);
      else
        snprintf (text, sizeof text,
                  "\"set\":{\"drain/d%u\":{\"target\":\"server/s%u\"}}", name,
                  zp_rng_below (&rng, 5));
      put (c, i * ZP_SEC, text);
    }
  return c;
}

/* Guards against members that have equal logs but different snapshots:
   encoding a decoded or copied configuration gives the same bytes.  */
static void
test_encode_decode (void)
{
  struct ti_config *c = random_config (7, 200);
  struct zp_buf bytes = { .ptr = NULL };
  struct zp_err err = { .text = "" };

  put (c, 300 * ZP_SEC,
       "\"set\":{\"region/w\":{\"latency_ms\":{\"e\":1.5}},"
       "\"blocks/b\":{\"site\":\"s\",\"prefixes\":[\"10.0.0.0/8\",\"::/0\"]},"
       "\"shift/s\":{\"from\":\"a\",\"to\":\"b\",\"share\":0.25,"
       "\"cap_per_minute\":0.000001}}");
  struct ti_change step = { .kind = TI_CHANGE_STEP, .index = c->index + 1 };
  step.u.step.moved = 1;
  ti_text_set (&step.u.step.shift, ZP_STR ("s"));
  CU_ASSERT (ti_config_apply (c, &step, &err));

  ti_config_encode (c, &bytes);
  struct ti_config *d = ti_config_decode (zp_str_of (&bytes), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (d);
  CU_ASSERT (same_bytes (c, d));
  struct ti_config *e = ti_config_copy (d);
  CU_ASSERT (same_bytes (c, e));

  /* Truncated bytes are refused.  */
  for (size_t n = 0; n < bytes.len - 1; n += 7)
    {
      struct zp_str cut = { .ptr = bytes.ptr, .len = n };
      CU_ASSERT_PTR_NULL (ti_config_decode (cut, &err));
    }
  zp_buf_free (&bytes);
  ti_config_free (c);
  ti_config_free (d);
  ti_config_free (e);
}

/* A change is encoded to the bytes that it was decoded from.  */
static void
test_change_bytes (void)
{
  static const char *const texts[] = {
    "{\"index\":9,\"time\":5,\"number\":3,\"digest\":\"00000000000000000000000"
    "00000000000000000000000000000000000000000\",\"set\":{\"site/s\":"
    "{\"failure_domain\":\"f\"}},\"delete\":[\"drain/d\"]}",
    "{\"index\":10,\"time\":5,\"step\":\"s\",\"moved\":250000}",
  };

  for (size_t i = 0; i < 2; i++)
    {
      struct zp_buf bytes = { .ptr = NULL };
      struct zp_err err;
      struct ti_change *c = ti_change_decode (zp_str_from (texts[i]), &err);
      CU_ASSERT_PTR_NOT_NULL_FATAL (c);
      ti_change_encode (c, &bytes);
      CU_ASSERT (zp_str_eq (zp_str_of (&bytes), zp_str_from (texts[i])));
      ti_change_free (c);
      zp_buf_free (&bytes);
    }
}

/* Guards against a follower whose configuration differs from the log (P8): an
   old or repeated change, or one after a gap, is refused and leaves the
   configuration unchanged.  */
static void
test_changes_in_order_only (void)
{
  struct ti_config *c = ti_config_new ();
  struct ti_config *before;
  struct zp_err err;
  struct ti_change change = { .kind = TI_CHANGE_EDIT, .index = 2 };

  put_site (c, 0, "a", "f");
  before = ti_config_copy (c);
  change.u.edit.number = 2;
  CU_ASSERT (!ti_config_apply (c, &change, &err)); /* index already applied */
  change.index = 3;
  change.u.edit.number = 1;
  CU_ASSERT (!ti_config_apply (c, &change, &err));
  change.u.edit.number = 3;
  CU_ASSERT (!ti_config_apply (c, &change, &err)); /* number 2 is missing */
  change = (struct ti_change){ .kind = TI_CHANGE_STEP, .index = 3 };
  CU_ASSERT (!ti_config_apply (c, &change, &err)); /* no such shift */
  CU_ASSERT (same_bytes (c, before));
  ti_config_free (c);
  ti_config_free (before);
}

/* Look-ups and iteration skip deleted objects and other kinds.  */
static void
test_look_up (void)
{
  struct ti_config *c = ti_config_new ();
  const struct ti_slot *s;
  size_t n = 0;

  put (c, 0,
       "\"set\":{\"site/b\":{\"failure_domain\":\"f\"},\"site/a\":"
       "{\"failure_domain\":\"f\"},\"region/r\":{\"latency_ms\":{}},"
       "\"drain/d\":{\"target\":\"region/r\"}}");
  put (c, 0, "\"delete\":[\"site/a\"]");
  CU_ASSERT (!has (c, "site/a"));
  CU_ASSERT (has (c, "site/b"));
  for (size_t at = 0; (s = ti_config_next (c, TI_SITE, &at)); n++)
    CU_ASSERT (zp_str_eq (ti_text_str (&s->key.name), ZP_STR ("b")));
  CU_ASSERT_EQUAL (n, 1);
  ti_config_free (c);
}

/* Whether a ticket with EDIT based on number AGAINST is in conflict with C.
   Checks the NUMBER of the conflict and how many OBJECTS it has.  */
static bool
conflicts (const struct ti_config *c, unsigned against, const char *edit,
           uint64_t number, size_t objects)
{
  struct zp_buf text = { .ptr = NULL };
  struct zp_report r = { .count = 0 };
  struct ti_conflict out;

  zp_buf_printf (&text, "{\"title\":\"t\",\"author\":\"a\",\"against\":%u,%s}",
                 against, edit);
  struct ti_ticket *t = ti_ticket_parse (zp_str_of (&text), &r);
  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  bool found = ti_conflict_check (c, TI_CONFLICT_BY_OBJECT, t, &out);
  CU_ASSERT_EQUAL (out.number, number);
  CU_ASSERT_EQUAL (out.objects.len, objects);
  ti_conflict_free (&out);
  ti_ticket_free (t);
  zp_buf_free (&text);
  return found;
}

/* Guards against numbering a ticket that is based on an object that has been
   deleted since, before and after the tombstone is dropped.  */
static void
test_tombstones (void)
{
  struct ti_config *c = ti_config_new ();
  const char *const set = "\"set\":{\"site/a\":{\"failure_domain\":\"g\"}}";

  put_site (c, 0, "a", "f");             /* 1 */
  put_site (c, 0, "b", "f");             /* 2 */
  put (c, 0, "\"delete\":[\"site/a\"]"); /* 3 */
  CU_ASSERT (conflicts (c, 2, set, 3, 1));
  CU_ASSERT (!conflicts (c, 3, set, 0, 0));
  CU_ASSERT (conflicts (c, 1, "\"delete\":[\"site/a\",\"site/b\"]", 3, 2));

  /* The tombstone is kept for its whole time to live and then dropped.  */
  put_site (c, TI_TOMBSTONE_TTL, "c", "f"); /* 4 */
  CU_ASSERT_EQUAL (c->len, 3);
  put_site (c, TI_TOMBSTONE_TTL + 1, "c", "g"); /* 5 */
  CU_ASSERT_EQUAL (c->len, 2);
  CU_ASSERT_EQUAL (c->forgotten, 3);
  CU_ASSERT (conflicts (c, 2, set, 3, 1));
  CU_ASSERT (!conflicts (c, 3, set, 0, 0));
  ti_config_free (c);
}

/* An undo edit restores the objects of the number before.  */
static void
test_undo (void)
{
  struct ti_config *c = random_config (11, 60);
  struct ti_config *before = ti_config_copy (c);
  struct ti_edit undo;
  struct zp_report r = { .count = 0 };
  struct ti_ticket *t = ti_ticket_parse (
      ZP_STR ("{\"title\":\"t\",\"author\":\"a\",\"against\":0,\"set\":{"
              "\"drain/d1\":{\"target\":\"server/new\"},"
              "\"drain/new\":{\"target\":\"server/new\"}},"
              "\"delete\":[\"drain/d2\",\"drain/d3\"]}"),
      &r);
  struct ti_change change
      = { .kind = TI_CHANGE_EDIT, .index = c->index + 1, .time = c->time };
  struct ti_diff d;

  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  change.u.edit.number = c->number + 1;
  change.u.edit.edit = t->edit;
  ti_config_make_undo (c, &t->edit, &undo);
  CU_ASSERT (ti_config_apply (c, &change, NULL));
  ti_config_diff (before, c, &d);
  CU_ASSERT (d.len >= 2); /* deletions of absent objects are not listed */
  for (size_t i = 0; i < d.len; i++)
    CU_ASSERT (d.item[i].before || d.item[i].after);
  ti_diff_free (&d);

  ti_config_revert (c, &undo);
  CU_ASSERT_EQUAL (c->number, before->number);
  ti_config_diff (before, c, &d);
  CU_ASSERT_EQUAL (d.len, 0);
  ti_diff_free (&d);
  ti_edit_free (&undo);
  ti_ticket_free (t);
  ti_config_free (c);
  ti_config_free (before);
}

/* Lists a deleted, a changed and a new object, but not one that was set to the
   same fields.  */
static void
test_diff (void)
{
  struct ti_config *a = ti_config_new (), *b;
  struct ti_diff d;

  put_site (a, 0, "a", "f");
  put_site (a, 0, "b", "f");
  put_site (a, 0, "c", "f");
  b = ti_config_copy (a);
  put (b, 0,
       "\"set\":{\"site/b\":{\"failure_domain\":\"g\"},"
       "\"site/c\":{\"failure_domain\":\"f\"},"
       "\"site/d\":{\"failure_domain\":\"f\"}},\"delete\":[\"site/a\"]");
  ti_config_diff (a, b, &d);
  CU_ASSERT_EQUAL_FATAL (d.len, 3); /* site/c did not change */
  CU_ASSERT (d.item[0].before && !d.item[0].after);
  CU_ASSERT (d.item[1].before && d.item[1].after);
  CU_ASSERT (!d.item[2].before && d.item[2].after);
  ti_diff_free (&d);
  ti_config_free (a);
  ti_config_free (b);
}

/* Guards against a daemon that applies a change to the wrong configuration, or
   loses its own when a change is refused.  */
static void
test_follower_updates (void)
{
  struct ti_config *c = ti_config_new ();
  struct zp_err err = { .text = "" };
  struct zp_buf bytes = { .ptr = NULL };

  put_site (c, 0, "a", "f");
  ti_config_encode (c, &bytes);
  struct ti_config *whole
      = ti_config_from_update (NULL, true, zp_str_of (&bytes), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (whole);
  CU_ASSERT (same_bytes (whole, c));

  char text[200];
  snprintf (text, sizeof text,
            "{\"index\":4,\"time\":0,\"number\":2,\"digest\":\"%064d\","
            "\"set\":{\"site/b\":{\"failure_domain\":\"f\"}}}",
            0);
  struct ti_config *next
      = ti_config_from_update (whole, false, zp_str_from (text), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (next);
  CU_ASSERT (has (next, "site/a") && has (next, "site/b"));
  CU_ASSERT (same_bytes (whole, c));

  /* A repeated change and a truncated change are refused.  */
  CU_ASSERT_PTR_NULL (
      ti_config_from_update (next, false, zp_str_from (text), &err));
  const struct zp_str half = { .ptr = text, .len = 40 };
  CU_ASSERT_PTR_NULL (ti_config_from_update (whole, false, half, &err));
  ti_config_free (whole);
  ti_config_free (next);
  ti_config_free (c);
  zp_buf_free (&bytes);
}

static const struct zp_test tests[] = {
  { "encode and decode", test_encode_decode },
  { "bytes of a change", test_change_bytes },
  { "changes apply in order only", test_changes_in_order_only },
  { "look-up", test_look_up },
  { "tombstones", test_tombstones },
  { "undo", test_undo },
  { "diff", test_diff },
  { "updates of followers", test_follower_updates },
};

TEST_MAIN ("ticket-config", tests)
