#include "harness.h"

#include "ticket/blob.h"
#include "ticket/store.h"

static uint64_t log_index;

/* Applies a command.  Returns whether it changed the configuration.  */
static bool
apply (struct ti_store *s, const struct ti_command *c)
{
  struct zp_buf bytes = { .ptr = NULL };
  struct ti_result r;

  ti_command_encode (c, &bytes);
  ti_store_apply (s, ++log_index, zp_str_of (&bytes), &r);
  CU_ASSERT_EQUAL (r.outcome, TI_DONE);
  bool changed = r.change != NULL;
  ti_result_free (&r);
  zp_buf_free (&bytes);
  return changed;
}

static bool
put (struct ti_store *s, uint64_t number, const char *text)
{
  struct ti_command c = { .kind = TI_PUT, .now = 5 };

  c.u.put.number = number;
  ti_blob_compress (zp_str_from (text), &c.u.put.body);
  bool changed = apply (s, &c);
  ti_command_clear (&c);
  return changed;
}

static bool
evacuate (struct ti_store *s, const char *domain, bool on)
{
  struct ti_command c = { .kind = TI_EVACUATE, .now = 5 };

  c.u.evacuate.on = on;
  ti_text_set (&c.u.evacuate.failure_domain, zp_str_from (domain));
  return apply (s, &c);
}

static const struct ti_object *
object (const struct ti_store *s, enum ti_kind kind, const char *name)
{
  struct ti_key key = { .kind = kind };

  ti_text_set (&key.name, zp_str_from (name));
  return ti_config_find (ti_store_config (s), &key);
}

/* Checks that the document in force is NUMBER with the body TEXT.  */
static void
check_document (const struct ti_store *s, uint64_t number, const char *text)
{
  const struct ti_object *o = object (s, TI_DOCUMENT, TI_ROUTES);
  struct zp_buf back = { .ptr = NULL };

  CU_ASSERT_PTR_NOT_NULL_FATAL (o);
  CU_ASSERT_EQUAL (o->u.document.number, number);
  CU_ASSERT (ti_blob_decompress (&o->u.document.body, &back, 1000));
  CU_ASSERT (zp_str_eq (zp_str_of (&back), zp_str_from (text)));
  zp_buf_free (&back);
}

/* Guards against going back to a lower number and against replacing the
   content of a number that is in force.  */
static void
test_highest_number (void)
{
  struct ti_store *s = ti_store_new (TI_CONFLICT_BY_OBJECT);

  CU_ASSERT (put (s, 7, "seven"));
  check_document (s, 7, "seven");
  CU_ASSERT (!put (s, 7, "other"));
  CU_ASSERT (!put (s, 3, "three"));
  check_document (s, 7, "seven");
  CU_ASSERT (put (s, 40, "forty"));
  CU_ASSERT (!put (s, 39, "late"));
  check_document (s, 40, "forty");
  ti_store_free (s);
}

/* An evacuation is a drain of the failure domain; repeating a command changes
   nothing.  */
static void
test_evacuate (void)
{
  struct ti_store *s = ti_store_new (TI_CONFLICT_BY_OBJECT);

  CU_ASSERT (!evacuate (s, "a-1", false));
  CU_ASSERT (evacuate (s, "a-1", true));
  CU_ASSERT (!evacuate (s, "a-1", true));
  CU_ASSERT (evacuate (s, "b-1", true));
  const struct ti_object *o = object (s, TI_DRAIN, "a-1");
  CU_ASSERT_PTR_NOT_NULL_FATAL (o);
  CU_ASSERT_EQUAL (o->u.drain.target.kind, TI_TARGET_FAILURE_DOMAIN);
  CU_ASSERT (evacuate (s, "a-1", false));
  CU_ASSERT_PTR_NULL (object (s, TI_DRAIN, "a-1"));
  CU_ASSERT_PTR_NOT_NULL (object (s, TI_DRAIN, "b-1"));
  ti_store_free (s);
}

/* Guards against losing a document or an evacuation when a member restores a
   snapshot or a follower decodes a complete configuration.  */
static void
test_snapshot (void)
{
  struct ti_store *s = ti_store_new (TI_CONFLICT_BY_OBJECT);
  struct zp_buf bytes = { .ptr = NULL }, whole = { .ptr = NULL };
  struct zp_err err = { .text = "" };

  put (s, 7, "seven \"quoted\"\n");
  evacuate (s, "a-1", true);
  put (s, 9, "nine");
  ti_store_snapshot (s, &bytes);
  struct ti_store *back
      = ti_store_restore (zp_str_of (&bytes), TI_CONFLICT_BY_OBJECT, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (back);
  check_document (back, 9, "nine");
  CU_ASSERT_PTR_NOT_NULL (object (back, TI_DRAIN, "a-1"));
  CU_ASSERT (!put (back, 9, "again"));
  struct ti_config *before = ti_store_config_at (back, 1);
  CU_ASSERT_PTR_NOT_NULL (before);
  ti_config_free (before);

  ti_config_encode (ti_store_config (s), &whole);
  struct ti_config *c = ti_config_decode (zp_str_of (&whole), &err);
  CU_ASSERT_PTR_NOT_NULL (c);
  ti_config_free (c);
  ti_store_free (back);
  ti_store_free (s);
  zp_buf_free (&bytes);
  zp_buf_free (&whole);
}

/* Guards against a change of the document that followers cannot decode.  */
static void
test_change (void)
{
  struct ti_store *s = ti_store_new (TI_CONFLICT_BY_OBJECT);
  struct ti_command c = { .kind = TI_PUT, .now = 5 };
  struct zp_buf bytes = { .ptr = NULL }, change = { .ptr = NULL };
  struct ti_result r;
  struct zp_err err = { .text = "" };

  c.u.put.number = 4;
  ti_blob_compress (ZP_STR ("four"), &c.u.put.body);
  ti_command_encode (&c, &bytes);
  ti_store_apply (s, 1, zp_str_of (&bytes), &r);
  CU_ASSERT_PTR_NOT_NULL_FATAL (r.change);
  ti_change_encode (r.change, &change);
  struct ti_change *back = ti_change_decode (zp_str_of (&change), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (back);
  struct ti_config *config = ti_config_new ();
  CU_ASSERT (ti_config_apply (config, back, &err));
  CU_ASSERT_EQUAL (config->number, 1);
  ti_config_free (config);
  ti_change_free (back);
  ti_result_free (&r);
  ti_command_clear (&c);
  ti_store_free (s);
  zp_buf_free (&bytes);
  zp_buf_free (&change);
}

static const struct zp_test tests[]
    = { { "only a higher number replaces the document", test_highest_number },
        { "evacuations", test_evacuate },
        { "snapshots", test_snapshot },
        { "changes for followers", test_change } };

TEST_MAIN ("ticket-put", tests)
