/* NAME
     message - HTTP/1.1 messages of the programs of the platform soak

   DESCRIPTION
     Reads requests and answers from blocking sockets and reports how the end
     of each was known.  The functions are used by soak/server.c and
     soak/caller.c and check only what those need.  A connection belongs to one
     thread.  */

#ifndef SOAK_MESSAGE_H
#define SOAK_MESSAGE_H

#include "base/clock.h"
#include "base/str.h"

/* How the reading of a message ended.  */
enum sk_end
{
  SK_WHOLE,   /* the message is complete */
  SK_CUT,     /* the connection ended inside it */
  SK_CLOSED,  /* the connection ended before its first byte */
  SK_TIMEOUT, /* the time limit passed */
  SK_GARBAGE  /* the bytes are no message */
};

struct sk_conn
{
  int fd;           /* -1 if the connection is closed */
  struct zp_buf in; /* received bytes that are not consumed yet */
};

struct sk_message
{
  struct zp_buf head;
  struct zp_buf body;
  unsigned status; /* of an answer */
};

enum sk_side
{
  SK_REQUEST,
  SK_ANSWER,
  SK_ANSWER_WITHOUT_BODY /* to HEAD */
};

const char *sk_end_name (enum sk_end e);

/* Connects to ADDRESS, "IP:PORT", within a second.  */
bool sk_dial (struct sk_conn *c, const char *address);

/* Listens on ADDRESS.  Returns -1 on failure.  */
int sk_listen (const char *address);

/* Closes the connection; RESET sends RST in place of FIN.  */
void sk_close (struct sk_conn *c, bool reset);

bool sk_send (struct sk_conn *c, struct zp_str bytes);

/* Reads one message into M until the time UNTIL.  An answer that can come from
   two, because its head has two status lines or two of a field, or because its
   chunks are not valid, is SK_GARBAGE.  */
enum sk_end sk_read (struct sk_conn *c, enum sk_side side, zp_time until,
                     struct sk_message *m);

void sk_message_free (struct sk_message *m);

/* The value of a header, or an empty string.  */
struct zp_str sk_header (const struct sk_message *m, const char *name);

/* Appends the LEN bytes that a server answers in the attempt with STAMP.  */
void sk_body (struct zp_buf *out, struct zp_str id, struct zp_str stamp,
              size_t len);

/* Opens the record FILE, to which processes append lines at the same time.
   Each line is one write, so that a line written before SIGKILL is whole.  */
int sk_record_open (const char *file);
void sk_record (int fd, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
