/* Fuzz target for libFuzzer: all functions that read bytes of tickets,
   configurations, changes and snapshots of the ticket store.

   A ticket that parses has to parse again from its canonical text, with the
   same digest.  What the decoder of configurations or the store has accepted
   has to encode to bytes that are accepted again.  */

#include <stdlib.h>

#include "ticket/store.h"
#include "ticket/validate.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* libFuzzer reports the input as a failure when the process aborts.  */
static void
check (bool ok)
{
  if (!ok)
    abort ();
}

static void
fuzz_ticket (struct zp_str in)
{
  struct zp_report report = { .count = 0 };
  struct zp_buf text = { .ptr = NULL };
  struct ti_ticket *t = ti_ticket_parse (in, &report);
  struct ti_digest a, b;

  check ((t == NULL) == (report.count > 0));
  zp_report_free (&report);
  if (!t)
    return;
  struct ti_config *c = ti_config_new ();
  ti_validate (c, t, &report);
  ti_config_free (c);
  ti_ticket_digest (t, &a);
  ti_ticket_write (t, &text);
  ti_ticket_free (t);
  zp_report_free (&report);

  t = ti_ticket_parse (zp_str_of (&text), &report);
  check (t != NULL);
  ti_ticket_digest (t, &b);
  check (ti_digest_eq (&a, &b));
  ti_ticket_free (t);
  zp_buf_free (&text);
}

static void
fuzz_config (struct zp_str in)
{
  struct zp_buf text = { .ptr = NULL };
  struct zp_err err;
  struct ti_config *c = ti_config_decode (in, &err);

  if (!c)
    return;
  ti_config_encode (c, &text);
  ti_config_free (c);
  c = ti_config_decode (zp_str_of (&text), &err);
  check (c != NULL);
  ti_config_free (c);
  zp_buf_free (&text);
}

static void
fuzz_change (struct zp_str in)
{
  struct zp_err err;
  struct ti_change *change = ti_change_decode (in, &err);
  struct ti_config *c = ti_config_new ();

  if (change)
    ti_config_apply (c, change, &err);
  ti_change_free (change);
  ti_config_free (c);
}

static void
fuzz_store (struct zp_str in)
{
  struct zp_buf bytes = { .ptr = NULL };
  struct ti_result result;
  struct zp_err err;
  struct ti_store *s = ti_store_restore (in, TI_CONFLICT_BY_OBJECT, &err);

  if (!s)
    s = ti_store_new (TI_CONFLICT_BY_OBJECT);
  ti_store_apply (s, UINT64_MAX, in, &result);
  ti_result_free (&result);
  ti_store_snapshot (s, &bytes);
  ti_store_free (s);
  s = ti_store_restore (zp_str_of (&bytes), TI_CONFLICT_BY_OBJECT, &err);
  check (s != NULL);
  ti_store_free (s);
  zp_buf_free (&bytes);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const struct zp_str in = { .ptr = (const char *) data, .len = size };

  fuzz_ticket (in);
  fuzz_config (in);
  fuzz_change (in);
  fuzz_store (in);
  return 0;
}
