/* NAME
     splices-answers - answers of a fake server, and a count of how they end

   SYNOPSIS
     struct tally t = { .cases = 0 };
     render (&firsts[0], &buffer);
     count (&t, done_message, &firsts[0], NULL, "what", 0);
     report ("what", &t);

   DESCRIPTION
     What the caller gets is one of the answers that the server has meant to
     send, or none: report fails the test if an answer is anything else.  A
     lost answer has to be one whose request may have run.  */

#ifndef ZP_TESTS_SPLICES_ANSWERS_H
#define ZP_TESTS_SPLICES_ANSWERS_H

#include <stdlib.h>

#include "harness.h"
#include "task/msg.h"

/* An answer of the server.  */
struct reply
{
  const char *status;         /* "200 OK" */
  const char *before, *after; /* field lines around the line with the id */
  const char *id;
  const char *stamp;
  const char *framing; /* field line */
  const char *body;    /* as sent, with its chunks */
  const char *text;    /* as the caller gets it */
  bool refuses;        /* says that the request has not run */
};

#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define FIELDS                                                                \
  "Date: Sun, 06 Dec 2026 03:00:00 GMT\r\nServer: bookings/2.1 (unix)\r\n"
#define REST "Cache-Control: no-store\r\n"
#define TEXT_A "{\"slot\":\"a-17\",\"at\":\"09:40\"}"
#define TEXT_B "{\"error\":\"desk 4 is shut\"}..."

/* The answers to the request r1, which come first.  */
static const struct reply firsts[] = {
  { "200 OK", FIELDS, REST, "r1", "s1", "Content-Length: 30\r\n", TEXT_A "ab",
    TEXT_A "ab", false },
  { "200 OK", FIELDS, REST, "r1", "s1", CHUNKED,
    "0a\r\n{\"slot\":\"a\r\n12\r\n-17\",\"at\":\"09:40\"}\r\n0\r\n\r\n",
    TEXT_A, false },
  { "500 Internal Server Error", FIELDS, REST, "r1", "s1",
    "Content-Length: 0\r\n", "", "", false },
  { "503 Service Unavailable", FIELDS "Not-Run: 1\r\nRetry-After: 2\r\n", REST,
    "r1", "s1", "Content-Length: 0\r\n", "", "", true },
  /* The id comes first, or last.  */
  { "200 OK", "", FIELDS REST, "r1", "s1", "Content-Length: 5\r\n", "hello",
    "hello", false },
  { "503 Service Unavailable",
    "Not-Run: 1\r\nX-Long: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n" FIELDS,
    "", "r1", "s1", "Content-Length: 2\r\n", "no", "no", true },
};

#define FIRSTS (sizeof firsts / sizeof firsts[0])

/* The answers to the request r2.  */
static const struct reply seconds[] = {
  { "500 Internal Server Error", FIELDS, REST, "r2", "s2",
    "Content-Length: 29\r\n", TEXT_B, TEXT_B, false },
  { "200 OK", FIELDS, REST, "r2", "s2", "Content-Length: 29\r\n", TEXT_B,
    TEXT_B, false },
  { "200 OK", "", FIELDS, "r2", "s2", CHUNKED, "1d\r\n" TEXT_B "\r\n0\r\n\r\n",
    TEXT_B, false },
  { "503 Service Unavailable", FIELDS "Not-Run: 1\r\n", REST, "r2", "s2",
    "Content-Length: 0\r\n", "", "", true },
};

#define SECONDS (sizeof seconds / sizeof seconds[0])

/* The begin of heads to r2.  */
#define HEAD_R2 "Request-Id: r2\r\nStamp: s2\r\n"
#define OK_R2 "HTTP/1.1 200 OK\r\n" HEAD_R2

static inline void
render (const struct reply *r, struct zp_buf *out)
{
  zp_buf_clear (out);
  zp_buf_printf (
      out, "HTTP/1.1 %s\r\n%sRequest-Id: %s\r\nStamp: %s\r\n%s%s\r\n%s",
      r->status, r->before, r->id, r->stamp, r->after, r->framing, r->body);
}

/* Adds a body of N bytes with many mentions of HTTP, where a status line can
   begin.  */
static inline void
put_body (struct zp_buf *b, size_t n)
{
  static const char text[] = "abcdefghijklmnopqrstuvwxyz0123456789HTTP";

  for (; n >= sizeof text - 1; n -= sizeof text - 1)
    zp_buf_put_bytes (b, text, sizeof text - 1);
  zp_buf_put_bytes (b, text, n);
}

/* Whether D is R as the server has meant it.  */
static inline bool
is_reply (const struct tk_forward_done *d, const struct reply *r)
{
  char stamp[64];

  snprintf (stamp, sizeof stamp, "Stamp: %s\n", r->stamp);
  return d->status == (unsigned) strtoul (r->status, NULL, 10)
         && HAS_TEXT (d->headers.ptr, stamp)
         && zp_str_eq (zp_str_of (&d->body), zp_str_from (r->text))
         && (d->verdict == ZP_NOT_RUN) == r->refuses
         && (d->retry_after > 0)
                == (HAS_TEXT (r->before, "Retry-After") && d->status == 503);
}

struct tally
{
  unsigned cases, lost, delivered, wrong;
};

/* Counts how M ended; it may be the answer R or, unless NULL, OTHER.  */
static inline void
count (struct tally *t, const struct tk_msg *m, const struct reply *r,
       const struct reply *other, const char *where, size_t at)
{
  const struct tk_forward_done *d = &m->u.done;

  t->cases++;
  if (d->end != TK_END_ANSWER)
    {
      t->lost++;
      CU_ASSERT_EQUAL (d->verdict, ZP_MAY_HAVE_RUN);
      return;
    }
  if (is_reply (d, r) || (other && is_reply (d, other)))
    {
      t->delivered++;
      return;
    }
  if (t->wrong++ < 5)
    printf ("\n%s, cut at %zu: status %u, body \"%.*s\", meant: %s \"%s\"",
            where, at, d->status, ZP_ARG (zp_str_of (&d->body)), r->status,
            r->text);
}

static inline void
report (const char *what, const struct tally *t)
{
  printf ("\n%s: %u cases, %u delivered, %u lost, %u wrong ", what, t->cases,
          t->delivered, t->lost, t->wrong);
  CU_ASSERT (t->cases > 0);
  CU_ASSERT_EQUAL (t->wrong, 0);
}

#endif
