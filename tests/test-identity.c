#include "harness.h"

#include <stdlib.h>

#include "control/identity.h"

static char folder[64];

static struct zp_str seed_list[] = { { .ptr = "10.0.0.1:90", .len = 11 },
                                     { .ptr = "10.0.0.2:90", .len = 11 } };
static const struct zp_strs seeds = { .item = seed_list, .len = 2 };

static struct ct_identity_options
options (const char *address, const char *http, bool first_start)
{
  return (struct ct_identity_options){ .folder = zp_str_from (folder),
                                       .address = zp_str_from (address),
                                       .http = zp_str_from (http),
                                       .seeds = &seeds,
                                       .first_start = first_start,
                                       .wall = 1767225600LL * ZP_SEC };
}

static void
new_folder (void)
{
  strcpy (folder, "/tmp/test-identity-XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (folder));
}

static void
remove_folder (void)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s", folder, CT_IDENTITY_FILE);
  unlink (path);
  rmdir (folder);
}

/* Guards against founders with different lists of founders, and against a
   founder that joins another group after a restart.  */
static void
test_founder (void)
{
  struct ct_identity x;

  new_folder ();
  struct ct_identity_options o = options ("10.0.0.1:70", "10.0.0.1:90", true);
  CU_ASSERT_FATAL (ct_identity_load (&o, &x, NULL));
  CU_ASSERT_EQUAL (x.id, 0x0a000001);
  CU_ASSERT_EQUAL_FATAL (x.founders.len, 2);
  CU_ASSERT_EQUAL (x.founders.item[1].id, 0x0a000002);
  CU_ASSERT_STRING_EQUAL (x.founders.item[1].address, "10.0.0.2:70");

  /* A restart, with settings that are no longer those of the first start.  */
  struct ct_identity again;
  o.first_start = false;
  CU_ASSERT_FATAL (ct_identity_load (&o, &again, NULL));
  CU_ASSERT_EQUAL (again.id, x.id);
  CU_ASSERT_EQUAL (again.founders.len, 2);
  CU_ASSERT (again.founders.item[0].voter);
  remove_folder ();
}

/* Guards against a second group, as only seeds may found one, and only on the
   first start; and against a machine that has lost its disk and takes its old
   id again.  */
static void
test_joiner (void)
{
  struct ct_identity x, y;

  new_folder ();
  struct ct_identity_options other
      = options ("10.0.0.3:70", "10.0.0.3:90", true);
  struct ct_identity_options wiped
      = options ("10.0.0.1:70", "10.0.0.1:90", false);
  CU_ASSERT_FATAL (ct_identity_load (&other, &x, NULL));
  CU_ASSERT_EQUAL (x.founders.len, 0);
  CU_ASSERT (x.id > UINT32_MAX);
  remove_folder ();
  new_folder ();
  CU_ASSERT_FATAL (ct_identity_load (&wiped, &x, NULL));
  CU_ASSERT_EQUAL (x.founders.len, 0);
  CU_ASSERT_NOT_EQUAL (x.id, 0x0a000001);
  remove_folder ();
  new_folder ();
  wiped.wall += ZP_SEC;
  CU_ASSERT_FATAL (ct_identity_load (&wiped, &y, NULL));
  CU_ASSERT_NOT_EQUAL (x.id, y.id);
  remove_folder ();
}

/* Guards against a new id in place of a damaged file, and against a start
   without a usable folder or address.  */
static void
test_damage (void)
{
  struct ct_identity x;
  struct zp_err err = { .text = "" };
  char path[128];

  new_folder ();
  struct ct_identity_options o = options ("10.0.0.1:70", "10.0.0.1:90", true);
  snprintf (path, sizeof path, "%s/%s", folder, CT_IDENTITY_FILE);
  FILE *f = fopen (path, "w");
  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  fputs ("{\"id\":", f);
  fclose (f);
  CU_ASSERT (!ct_identity_load (&o, &x, &err));
  CU_ASSERT (err.text[0] != '\0');
  remove_folder ();
  o.folder = ZP_STR ("/nonexistent/folder");
  CU_ASSERT (!ct_identity_load (&o, &x, &err));
  new_folder ();
  o = options ("nowhere:70", "10.0.0.1:90", true);
  CU_ASSERT (!ct_identity_load (&o, &x, &err));
  remove_folder ();
}

static const struct zp_test tests[]
    = { { "founders", test_founder },
        { "members that join", test_joiner },
        { "damaged file and bad options", test_damage } };

TEST_MAIN ("identity", tests)
