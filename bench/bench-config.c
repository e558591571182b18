/* Benchmark of a configuration with 220,000, 440,000 and 880,000 blocks of
   callers, 120 sites, 25 failure domains, 9 regions and 420 entry daemons.
   Measures the size of its encoded form; processor time to decode it, to copy
   it, to apply one change, and to build the plan of an entry daemon with and
   without a change of blocks; and heap memory of the configuration and of the
   block table.

   Limits: blocks are /24 networks in objects of 2,000; processor time of one
   thread with warm caches.  */

#include "figures.h"

#include "entry/plan.h"
#include "ticket/config.h"

#define REGIONS 9
#define DOMAINS 25
#define SITES 120
#define ENTRIES 420
#define RUNS 3
#define CHANGES 20

static uint64_t number;

/* Applies the edit of TEXT, {"set": ..., "delete": ...}.  Returns the
   processor time of decoding and applying the encoded change.  */
static double
apply (struct ti_config *c, struct zp_str text)
{
  struct zp_err err;
  struct zp_report report = { .count = 0 };
  struct zp_buf bytes = { .ptr = NULL };
  struct ti_ticket *t = ti_ticket_parse (text, &report);

  if (!t)
    {
      fprintf (stderr, "%s", report.lines.ptr);
      exit (1);
    }
  struct ti_change change
      = { .kind = TI_CHANGE_EDIT, .index = c->index + 1, .time = c->time + 1 };
  change.u.edit.number = ++number;
  ti_ticket_digest (t, &change.u.edit.digest);
  change.u.edit.edit = t->edit;
  ti_change_encode (&change, &bytes);
  ti_ticket_free (t);

  double start = fig_cpu_process ();
  struct ti_change *decoded = ti_change_decode (zp_str_of (&bytes), &err);
  if (!decoded || !ti_config_apply (c, decoded, &err))
    fig_die ("bench-config", &err);
  ti_change_free (decoded);
  double us = fig_cpu_process () - start;
  zp_buf_free (&bytes);
  return us;
}

static void
put_base (struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("{\"title\":\"base\",\"author\":\"ana\","
                           "\"against\":0,\"set\":{"));
  for (unsigned i = 0; i < REGIONS; i++)
    zp_buf_printf (out, "\"region/r%u\":{\"latency_ms\":{}},", i);
  for (unsigned i = 0; i < DOMAINS; i++)
    zp_buf_printf (out,
                   "\"failure_domain/f%u\":{\"region\":\"r%u\","
                   "\"entry_networks\":[\"10.0.0.0/8\"]},",
                   i, i % REGIONS);
  for (unsigned i = 0; i < SITES; i++)
    zp_buf_printf (out, "\"site/s%u\":{\"failure_domain\":\"f%u\"},", i,
                   i % DOMAINS);
  for (unsigned i = 0; i < ENTRIES; i++)
    zp_buf_printf (out,
                   "\"entry/%u\":{\"failure_domain\":\"f%u\",\"address\":"
                   "\"10.0.%u.%u:80\",\"enabled\":true},",
                   i + 1, i % DOMAINS, i / 200, i % 200);
  zp_buf_put (out, ZP_STR ("\"service/main\":{\"class\":\"once\",\"priority\":"
                           "0,\"deadline_ms\":1000,\"queue_max\":10}}}"));
}

/* Writes a ticket that sets one object of blocks.  SITE_SHIFT is added to the
   number of its site.  */
static void
put_blocks (struct zp_buf *out, unsigned object, unsigned prefixes,
            unsigned site_shift)
{
  zp_buf_printf (out,
                 "{\"title\":\"blocks\",\"author\":\"ana\",\"against\":0,"
                 "\"set\":{\"blocks/b%u\":{\"site\":\"s%u\",\"prefixes\":[",
                 object, (object + site_shift) % SITES);
  for (unsigned i = 0; i < prefixes; i++)
    {
      unsigned n = (object * TI_PREFIXES_MAX + i) + (16 << 16);
      zp_buf_printf (out, "%s\"%u.%u.%u.0/24\"", i ? "," : "", n >> 16,
                     n >> 8 & 255, n & 255);
    }
  zp_buf_put (out, ZP_STR ("]}}}"));
}

static struct ti_config *
make_config (unsigned blocks)
{
  struct ti_config *c = ti_config_new ();
  struct zp_buf text = { .ptr = NULL };

  number = 0;
  put_base (&text);
  apply (c, zp_str_of (&text));
  for (unsigned i = 0; i < blocks / TI_PREFIXES_MAX; i++)
    {
      zp_buf_clear (&text);
      put_blocks (&text, i, TI_PREFIXES_MAX, 0);
      apply (c, zp_str_of (&text));
    }
  zp_buf_free (&text);
  return c;
}

static void
print (const char *what, unsigned blocks, struct fig_values *v,
       const char *unit)
{
  char name[64];

  snprintf (name, sizeof name, "config-%uk-%s", blocks / 1000, what);
  fig_print (name, v, unit, NAN);
}

static void
print_one (const char *what, unsigned blocks, double value, const char *unit)
{
  char name[64];

  snprintf (name, sizeof name, "config-%uk-%s", blocks / 1000, what);
  fig_line (name, value, unit);
}

/* Measures two kinds of changes, a new drain and another site for an object of
   blocks, and the plan that an entry daemon builds after each.  */
static void
measure_changes (struct ti_config *c, unsigned blocks)
{
  struct fig_values small = { .len = 0 }, small_plan = { .len = 0 };
  struct fig_values large = { .len = 0 }, large_plan = { .len = 0 };
  struct zp_buf text = { .ptr = NULL };
  struct zp_err err;
  struct en_plan *plan = en_plan_build (c, NULL, &err);

  if (!plan)
    fig_die ("bench-config", &err);
  print_one ("block-table-memory", blocks,
             (double) st_blocks_memory (plan->blocks) / 1e6, "MB");
  for (unsigned i = 0; i < CHANGES; i++)
    {
      bool drain = i % 4 != 0;
      zp_buf_clear (&text);
      if (drain)
        zp_buf_printf (&text,
                       "{\"title\":\"drain\",\"author\":\"ana\",\"against\":0,"
                       "\"set\":{\"drain/d%u\":{\"target\":\"entry/%u\"}}}",
                       i, i + 1);
      else
        put_blocks (&text, i, TI_PREFIXES_MAX, 1);
      double us = apply (c, zp_str_of (&text));
      double start = fig_cpu_process ();
      struct en_plan *next = en_plan_build (c, plan, &err);
      if (!next)
        fig_die ("bench-config", &err);
      en_plan_free (plan);
      plan = next;
      double plan_us = fig_cpu_process () - start;
      fig_add (drain ? &small : &large, us);
      fig_add (drain ? &small_plan : &large_plan, plan_us / 1e3);
    }
  en_plan_free (plan);
  zp_buf_free (&text);
  print ("apply-drain", blocks, &small, "us");
  print ("plan-drain", blocks, &small_plan, "ms");
  print ("apply-blocks", blocks, &large, "us");
  print ("plan-blocks", blocks, &large_plan, "ms");
}

static double
measure (unsigned blocks, double *memory_mb)
{
  struct fig_values decode = { .len = 0 }, copy = { .len = 0 };
  struct zp_buf bytes = { .ptr = NULL };
  struct zp_err err;
  struct ti_config *c = make_config (blocks);

  ti_config_encode (c, &bytes);
  ti_config_free (c);
  print_one ("encoded", blocks, (double) bytes.len / 1e6, "MB");
  for (int i = 0; i < RUNS; i++)
    {
      double heap = fig_heap (), start = fig_cpu_process ();
      c = ti_config_decode (zp_str_of (&bytes), &err);
      if (!c)
        fig_die ("bench-config", &err);
      fig_add (&decode, (fig_cpu_process () - start) / 1e3);
      *memory_mb = (fig_heap () - heap) / 1e6;
      start = fig_cpu_process ();
      struct ti_config *other = ti_config_copy (c);
      fig_add (&copy, (fig_cpu_process () - start) / 1e3);
      ti_config_free (other);
      if (i < RUNS - 1)
        ti_config_free (c);
    }
  print ("decode", blocks, &decode, "ms");
  print ("copy", blocks, &copy, "ms");
  print_one ("memory", blocks, *memory_mb, "MB");
  zp_buf_free (&bytes);
  measure_changes (c, blocks);
  ti_config_free (c);
  return fig_quantile (&decode, 0.5);
}

int
main (void)
{
  static const unsigned sizes[] = { 220000, 440000, 880000 };
  double x[3], decode[3], memory[3];

  for (int i = 0; i < 3; i++)
    {
      x[i] = sizes[i] / 1000.0;
      decode[i] = measure (sizes[i], &memory[i]);
    }
  fig_fit ("config-decode", x, decode, 3, "ms/1000-blocks");
  fig_fit ("config-memory", x, memory, 3, "MB/1000-blocks");
  return 0;
}
