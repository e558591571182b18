#include "harness.h"

#include <stdlib.h>

#include "base/rng.h"
#include "roster/loads.h"

static struct ro_loads loads;

/* Sends one sample of SERVER that DAEMON got AGE before NOW.  */
static void
take (uint64_t daemon, enum ro_work_kind kind, uint32_t server,
      unsigned requests, zp_time age, zp_time now)
{
  struct tk_work_load x
      = { .server = server, .requests = requests, .pace = 120, .age = age };
  const struct tk_work w = { .load = &x, .loads = 1 };

  ro_loads_take (&loads, daemon, kind, &w, 1, now);
}

static struct tk_work out;

/* Reads for DAEMON into OUT; returns the number of samples.  */
static size_t
read_for (uint64_t daemon, enum ro_work_kind kind, size_t max, uint64_t *read,
          zp_time now)
{
  free (out.load);
  out = (struct tk_work){ .item = NULL };
  ro_loads_read (&loads, daemon, kind, max, read, now, &out);
  return out.loads;
}

static void
finish (void)
{
  ro_loads_free (&loads);
  free (out.load);
  out = (struct tk_work){ .item = NULL };
}

/* Guards against a late report that replaces a newer sample, and against a
   sample whose age does not grow while it is held.  */
static void
test_newest (void)
{
  const zp_time t = 10 * ZP_SEC;
  uint64_t read = 0;

  take (1, RO_WORK_DIRECT, 7, 3, 100 * ZP_MS, t);
  take (2, RO_WORK_DIRECT, 7, 9, 200 * ZP_MS, t);
  CU_ASSERT_EQUAL_FATAL (read_for (5, RO_WORK_ALL, 128, &read, t + 50 * ZP_MS),
                         1);
  CU_ASSERT_EQUAL (out.load[0].requests, 3);
  CU_ASSERT_EQUAL (out.load[0].pace, 120);
  CU_ASSERT_EQUAL (out.load[0].age, 150 * ZP_MS);
  take (2, RO_WORK_RELAYED, 7, 5, 20 * ZP_MS, t + 50 * ZP_MS);
  CU_ASSERT_EQUAL_FATAL (read_for (5, RO_WORK_ALL, 128, &read, t + 50 * ZP_MS),
                         1);
  CU_ASSERT_EQUAL (out.load[0].requests, 5);
  finish ();
}

/* Guards against bytes for samples that a daemon has already, or that it has
   sent itself.  */
static void
test_sent_once (void)
{
  uint64_t read[3] = { 0 };

  take (1, RO_WORK_DIRECT, 7, 3, 0, 0);
  take (2, RO_WORK_DIRECT, 8, 4, 0, 0);
  CU_ASSERT_EQUAL_FATAL (read_for (1, RO_WORK_ALL, 128, &read[0], 1), 1);
  CU_ASSERT_EQUAL (out.load[0].server, 8);
  CU_ASSERT_EQUAL (read_for (1, RO_WORK_ALL, 128, &read[0], 2), 0);
  /* The same sample from another control daemon is none that is newer.  */
  take (6, RO_WORK_RELAYED, 8, 4, 2, 2);
  CU_ASSERT_EQUAL (read_for (1, RO_WORK_ALL, 128, &read[0], 2), 0);
  take (2, RO_WORK_DIRECT, 7, 5, 0, 3);
  CU_ASSERT_EQUAL (read_for (1, RO_WORK_ALL, 128, &read[0], 3), 1);
  CU_ASSERT_EQUAL (read_for (2, RO_WORK_ALL, 128, &read[1], 3), 0);
  CU_ASSERT_EQUAL (read_for (3, RO_WORK_ALL, 128, &read[2], 3), 2);
  finish ();
}

/* Guards against samples that circulate between control daemons: what one has
   relayed is not relayed again.  */
static void
test_relay (void)
{
  uint64_t read = 0;

  take (1, RO_WORK_DIRECT, 7, 3, 0, 0);
  take (6, RO_WORK_RELAYED, 8, 4, 0, 0);
  CU_ASSERT_EQUAL_FATAL (
      read_for (RO_LOADS_NO_DAEMON, RO_WORK_DIRECT, 256, &read, 1), 1);
  CU_ASSERT_EQUAL (out.load[0].server, 7);
  CU_ASSERT_EQUAL (
      read_for (RO_LOADS_NO_DAEMON, RO_WORK_DIRECT, 256, &read, 2), 0);
  finish ();
}

/* Guards against loads that are used when they say nothing any more: those of
   reports that have stopped, and those that were old when they came.  */
static void
test_expiry (void)
{
  const zp_time t = 10 * ZP_SEC;
  uint64_t read = 0;

  take (1, RO_WORK_DIRECT, 7, 3, RO_LOADS_TTL, t);
  CU_ASSERT_EQUAL (read_for (5, RO_WORK_ALL, 128, &read, t), 0);
  take (1, RO_WORK_DIRECT, 8, 3, RO_LOADS_TTL - 1, t);
  read = 0;
  CU_ASSERT_EQUAL (read_for (5, RO_WORK_ALL, 128, &read, t), 1);
  read = 0;
  CU_ASSERT_EQUAL (read_for (5, RO_WORK_ALL, 128, &read, t + 1), 0);
  finish ();
}

/* Guards against a message whose size grows with the numbers of servers and
   daemons, and against one that leaves out new samples for older ones.  */
static void
test_newest_first (void)
{
  enum
  {
    SERVERS = 1000
  };
  const zp_time t = 10 * ZP_SEC;
  bool seen[SERVERS] = { false };
  struct zp_rng rng;
  uint64_t read = 0;

  zp_rng_seed (&rng, 3);
  /* Server S has a sample of S / 2 ms; they come in no order.  */
  for (uint32_t done = 0; done < SERVERS;)
    {
      uint32_t s = (uint32_t) zp_rng_below (&rng, SERVERS);
      if (seen[s])
        continue;
      seen[s] = true;
      take (1, RO_WORK_DIRECT, s, 1, s * (ZP_MS / 2), t);
      done++;
    }
  CU_ASSERT_EQUAL_FATAL (read_for (5, RO_WORK_ALL, 101, &read, t), 101);
  for (size_t i = 0; i < 101; i++)
    CU_ASSERT_EQUAL (out.load[i].server, i);
  CU_ASSERT_EQUAL (read_for (5, RO_WORK_ALL, 101, &read, t), 0);
  finish ();
}

/* Guards against a daemon that makes a control daemon hold any number of
   samples, and against a full table that takes no samples any more.  */
static void
test_bounds (void)
{
  static struct tk_work_load list[300];
  const struct tk_work w = { .load = list, .loads = 300 };
  uint64_t read = 0;

  for (uint32_t i = 0; i < 300; i++)
    list[i] = (struct tk_work_load){ .server = i };
  ro_loads_take (&loads, 1, RO_WORK_DIRECT, &w, RO_LOADS_REPORT_MAX, 0);
  CU_ASSERT_EQUAL (loads.len, RO_LOADS_REPORT_MAX);
  for (uint32_t i = 0; i < 3 * RO_LOADS_SERVERS_MAX; i++)
    take (1, RO_WORK_DIRECT, i * 7919, 1, 0, 1);
  CU_ASSERT_EQUAL (loads.len, RO_LOADS_SERVERS_MAX);
  CU_ASSERT_EQUAL (loads.cap, RO_LOADS_SERVERS_MAX);
  read = loads.number;
  take (1, RO_WORK_DIRECT, 7919, 2, 0, 2);
  CU_ASSERT_EQUAL (read_for (5, RO_WORK_ALL, 128, &read, 2), 1);
  take (1, RO_WORK_DIRECT, 3, 2, 0, 1 + RO_LOADS_TTL);
  CU_ASSERT_EQUAL (read_for (5, RO_WORK_ALL, 128, &read, 1 + RO_LOADS_TTL), 1);
  CU_ASSERT_EQUAL (out.load[0].server, 3);
  finish ();
}

static const struct zp_test tests[]
    = { { "the newest sample of a server", test_newest },
        { "each sample is sent once", test_sent_once },
        { "relayed samples", test_relay },
        { "expired samples", test_expiry },
        { "the newest samples come first", test_newest_first },
        { "bounds", test_bounds } };

TEST_MAIN ("roster-loads", tests)
