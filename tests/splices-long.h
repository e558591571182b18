/* NAME
     splices-long - long bodies that another answer completes

   SYNOPSIS
     check_long_bodies (sizes, 2);

   DESCRIPTION
     In two programs, by the length of the answer that completes the body,
     because a body of 8 MiB takes up to 0.2 s.  */

#ifndef ZP_TESTS_SPLICES_LONG_H
#define ZP_TESTS_SPLICES_LONG_H

#include "splices-fixture.h"

/* Cuts an answer to r2 with a body of SIZE bytes, and completes it with one
   whose body has NEXT_SIZE bytes.  An answer that is passed on is wrong.  */
static inline void
check_long_body (struct tally *t, size_t size, size_t next_size, bool chunked)
{
  struct zp_buf first = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;
  struct remote r;

  open_fixture (&f);
  open_remote (&r);
  snprintf (f.address, sizeof f.address, "%s", r.address);
  render (&firsts[2], &r.answer[0]);
  if (chunked)
    zp_buf_printf (&first, OK_R2 CHUNKED "\r\n%zx\r\n", size);
  else
    zp_buf_printf (&first, OK_R2 "Content-Length: %zu\r\n\r\n", size);
  put_body (&first, size);
  zp_buf_printf (&first, "%s", chunked ? "\r\n0\r\n\r\n" : "");
  zp_buf_printf (&next,
                 "HTTP/1.1 500 ISE\r\n" HEAD_R2 "Content-Length: %zu\r\n\r\n",
                 next_size);
  put_body (&next, next_size);
  for (size_t missing = 1; missing < size && missing < next.len;
       missing = missing * 5 / 2 + 2)
    {
      zp_buf_clear (&r.answer[1]);
      zp_buf_put_bytes (&r.answer[1], first.ptr, first.len - missing);
      zp_buf_put (&r.answer[1], zp_str_of (&next));
      f.client = fw_client_open_with (&f.loop, &f.task, &strict);
      if (missing & 1)
        tk_msg_free (exchange (&f, "r1"));
      struct tk_msg *m = exchange (&f, "r2");
      t->cases++;
      if (m->u.done.end != TK_END_ANSWER)
        t->lost++;
      else if (t->wrong++ < 5)
        printf ("\nfirst %zu, next %zu, chunked %d, missing %zu", size,
                next_size, chunked, missing);
      tk_msg_free (m);
      fw_client_close (f.client);
    }
  zp_buf_free (&first);
  zp_buf_free (&next);
  close_remote (&r);
  close_fixture (&f);
}

/* Fails the test if an answer to r2 with a body of 3,000 bytes to 8 MiB, with a
   length or in chunks, breaks off, is completed by one with a body of one of
   the N lengths in NEXT_SIZES, and is passed on.  */
static inline void
check_long_bodies (const size_t *next_sizes, size_t n)
{
  static const size_t sizes[] = { 3000, 4096, 65536, 1 << 20, 8 << 20 };
  struct tally t = { .cases = 0 };

  for (size_t i = 0; i < 5; i++)
    for (size_t k = 0; k < n; k++)
      {
        check_long_body (&t, sizes[i], next_sizes[k], false);
        check_long_body (&t, sizes[i], next_sizes[k], true);
      }
  report ("long bodies", &t);
}

#endif
