/* Status codes that no answer can have: not three digits, or not from 100 to
   599.  */

#ifndef ZP_TESTS_INVALID_STATUSES_H
#define ZP_TESTS_INVALID_STATUSES_H

static const char *const invalid_statuses[]
    = { "000", "00", "0",    "099", "0200", "600", "999",
        "-01", "20", "2000", "2x0", "",     " 200" };

#define INVALID_STATUSES (sizeof invalid_statuses / sizeof invalid_statuses[0])

#endif
