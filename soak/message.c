#include "message.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define HEAD_MAX 65536                      /* bytes */
#define BODY_MAX ((size_t) 4 * 1024 * 1024) /* above every body of the soak */
#define DIAL_TIMEOUT_MS 1000 /* time that clients of the platform allow */
#define BACKLOG 512          /* connections */

const char *
sk_end_name (enum sk_end e)
{
  switch (e)
    {
    case SK_WHOLE:
      return "whole";
    case SK_CUT:
      return "cut";
    case SK_CLOSED:
      return "closed";
    case SK_TIMEOUT:
      return "timeout";
    case SK_GARBAGE:
      return "garbage";
    }
  return "unknown";
}

static bool
parse_address (const char *text, struct sockaddr_in *out)
{
  char host[64];
  struct zp_str ip, port;
  uint64_t n;

  *out = (struct sockaddr_in){ .sin_family = AF_INET };
  if (!zp_str_split (zp_str_from (text), ':', &ip, &port)
      || !zp_str_copy (host, sizeof host, ip) || !zp_str_u64 (port, &n)
      || n > UINT16_MAX)
    return false;
  out->sin_port = htons ((uint16_t) n);
  return inet_pton (AF_INET, host, &out->sin_addr) == 1;
}

bool
sk_dial (struct sk_conn *c, const char *address)
{
  struct timeval limit = { .tv_sec = DIAL_TIMEOUT_MS / 1000 };
  struct sockaddr_in sa;
  int on = 1;

  zp_buf_clear (&c->in);
  c->fd = -1;
  if (!parse_address (address, &sa))
    return false;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return false;
  /* On Linux the send timeout also limits connect.  */
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *) &sa, sizeof sa) < 0)
    {
      close (fd);
      return false;
    }
  c->fd = fd;
  return true;
}

int
sk_listen (const char *address)
{
  struct sockaddr_in sa;
  int on = 1;

  if (!parse_address (address, &sa))
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &sa, sizeof sa) == 0
      && listen (fd, BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

void
sk_close (struct sk_conn *c, bool reset)
{
  struct linger reset_on_close = { .l_onoff = 1, .l_linger = 0 };

  if (c->fd < 0)
    return;
  if (reset)
    setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
                sizeof reset_on_close);
  close (c->fd);
  c->fd = -1;
  zp_buf_free (&c->in);
}

bool
sk_send (struct sk_conn *c, struct zp_str bytes)
{
  while (bytes.len > 0)
    {
      ssize_t n = send (c->fd, bytes.ptr, bytes.len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      bytes.ptr += n;
      bytes.len -= (size_t) n;
    }
  return true;
}

enum received
{
  RECEIVED,
  RECEIVED_FIN,
  RECEIVED_RST,
  RECEIVED_NOTHING /* until the time limit */
};

static enum received
receive (struct sk_conn *c, zp_time until)
{
  char bytes[16384];
  struct pollfd p = { .fd = c->fd, .events = POLLIN };
  zp_time left = until - zp_clock_mono ();

  if (left < 0 || poll (&p, 1, (int) (left / ZP_MS) + 1) <= 0)
    return RECEIVED_NOTHING;
  ssize_t n = recv (c->fd, bytes, sizeof bytes, 0);
  if (n < 0)
    return RECEIVED_RST;
  if (n == 0)
    return RECEIVED_FIN;
  zp_buf_put_bytes (&c->in, bytes, (size_t) n);
  return RECEIVED;
}

static enum sk_end
end_of (enum received r)
{
  return r == RECEIVED_NOTHING ? SK_TIMEOUT : SK_CUT;
}

/* Waits until N bytes are received.  */
static enum sk_end
need (struct sk_conn *c, size_t n, zp_time until)
{
  while (c->in.len < n)
    {
      enum received r = receive (c, until);
      if (r != RECEIVED)
        return end_of (r);
    }
  return SK_WHOLE;
}

/* Moves a line or a head, which ends with MARK, to OUT.  */
static enum sk_end
read_until (struct sk_conn *c, struct zp_str mark, zp_time until,
            struct zp_buf *out)
{
  const char *found = NULL;

  for (;;)
    {
      if (c->in.len > 0)
        found = memmem (c->in.ptr, c->in.len, mark.ptr, mark.len);
      if (found)
        break;
      if (c->in.len > HEAD_MAX)
        return SK_GARBAGE;
      enum received r = receive (c, until);
      if (r != RECEIVED)
        return c->in.len == 0 && r != RECEIVED_NOTHING ? SK_CLOSED
                                                       : end_of (r);
    }
  size_t n = (size_t) (found - c->in.ptr) + mark.len;
  zp_buf_clear (out);
  zp_buf_put_bytes (out, c->in.ptr, n);
  zp_buf_drop (&c->in, n);
  return SK_WHOLE;
}

static enum sk_end
read_length (struct sk_conn *c, size_t n, zp_time until, struct zp_buf *out)
{
  if (n > BODY_MAX || out->len > BODY_MAX)
    return SK_GARBAGE;
  enum sk_end e = need (c, n, until);
  if (e != SK_WHOLE)
    return e;
  zp_buf_put_bytes (out, c->in.ptr, n);
  zp_buf_drop (&c->in, n);
  return SK_WHOLE;
}

static enum sk_end
read_chunks (struct sk_conn *c, zp_time until, struct zp_buf *out)
{
  struct zp_buf line = { .ptr = NULL };
  size_t n = 1;
  enum sk_end e = SK_WHOLE;

  while (e == SK_WHOLE && n > 0)
    {
      char *end;
      e = read_until (c, ZP_STR ("\r\n"), until, &line);
      if (e != SK_WHOLE)
        break;
      n = strtoul (line.ptr, &end, 16);
      if (end == line.ptr || *end != '\r')
        e = SK_GARBAGE;
      else if (n > 0)
        e = read_length (c, n, until, out);
      /* The line end behind the chunk.  Trailers are not expected.  */
      if (e == SK_WHOLE)
        e = read_until (c, ZP_STR ("\r\n"), until, &line);
      if (e == SK_WHOLE && line.len > 2)
        e = SK_GARBAGE;
    }
  zp_buf_free (&line);
  return e == SK_CLOSED ? SK_CUT : e;
}

/* Only FIN ends an answer without a length.  */
static enum sk_end
read_to_close (struct sk_conn *c, zp_time until, struct zp_buf *out)
{
  enum received r;

  while ((r = receive (c, until)) == RECEIVED)
    if (c->in.len > BODY_MAX)
      return SK_GARBAGE;
  zp_buf_put (out, zp_str_of (&c->in));
  zp_buf_clear (&c->in);
  return r == RECEIVED_FIN ? SK_WHOLE : end_of (r);
}

/* Whether the head of an answer comes from one answer: without a status line
   behind its begin, and with one of each field that says what the answer is.
   A copy that breaks off in its head is completed by the next answer.  */
static bool
is_one_head (struct zp_str head)
{
  static const char *const once[]
      = { "Content-Length", "Transfer-Encoding", "Content-Type",  "Date",
          "Retry-After",    "X-Request-Id",      "X-Server-Stamp" };
  unsigned seen = 0;
  struct zp_str line, name, value;

  if (memmem (head.ptr + 1, head.len - 1, "HTTP/1.", 7))
    return false;
  zp_str_split (head, '\n', &line, &head);
  while (zp_str_split (head, '\n', &line, &head) && line.len > 1)
    {
      if (!zp_str_split (line, ':', &name, &value))
        return false;
      for (size_t i = 0; i < sizeof once / sizeof once[0]; i++)
        if (name.len == strlen (once[i])
            && strncasecmp (name.ptr, once[i], name.len) == 0)
          {
            if (seen & 1u << i)
              return false;
            seen |= 1u << i;
          }
    }
  return true;
}

enum sk_end
sk_read (struct sk_conn *c, enum sk_side side, zp_time until,
         struct sk_message *m)
{
  enum sk_end e;
  uint64_t n = 0;

  zp_buf_clear (&m->body);
  m->status = 0;
  do
    {
      e = read_until (c, ZP_STR ("\r\n\r\n"), until, &m->head);
      if (e != SK_WHOLE)
        return e;
      if (side == SK_REQUEST)
        break;
      if (!zp_str_starts (zp_str_of (&m->head), ZP_STR ("HTTP/1.1 "))
          || !is_one_head (zp_str_of (&m->head)))
        return SK_GARBAGE;
      m->status = (unsigned) strtoul (m->head.ptr + 9, NULL, 10);
    }
  while (m->status / 100 == 1);
  if (side == SK_ANSWER_WITHOUT_BODY || m->status == 204 || m->status == 304)
    return SK_WHOLE;
  if (zp_str_eq (sk_header (m, "Transfer-Encoding"), ZP_STR ("chunked")))
    return read_chunks (c, until, &m->body);
  struct zp_str length = sk_header (m, "Content-Length");
  if (length.len > 0)
    return zp_str_u64 (length, &n) ? read_length (c, n, until, &m->body)
                                   : SK_GARBAGE;
  return side == SK_REQUEST ? SK_WHOLE : read_to_close (c, until, &m->body);
}

void
sk_message_free (struct sk_message *m)
{
  zp_buf_free (&m->head);
  zp_buf_free (&m->body);
}

struct zp_str
sk_header (const struct sk_message *m, const char *name)
{
  struct zp_str line, value, tail = zp_str_of (&m->head);

  zp_str_split (tail, '\n', &line, &tail);
  while (zp_str_split (tail, '\n', &line, &tail))
    {
      struct zp_str key;
      if (!zp_str_split (line, ':', &key, &value) || key.len != strlen (name)
          || strncasecmp (key.ptr, name, key.len) != 0)
        continue;
      while (value.len > 0 && *value.ptr == ' ')
        {
          value.ptr++;
          value.len--;
        }
      while (value.len > 0
             && isspace ((unsigned char) value.ptr[value.len - 1]))
        value.len--;
      return value;
    }
  return (struct zp_str){ .ptr = NULL };
}

void
sk_body (struct zp_buf *out, struct zp_str id, struct zp_str stamp, size_t len)
{
  uint64_t x = zp_str_hash (id, zp_str_hash (stamp, 1)) | 1;
  char word[8];

  while (len > 0)
    {
      size_t n = len < sizeof word ? len : sizeof word;
      /* Xorshift generator.  */
      x ^= x << 13;
      x ^= x >> 7;
      x ^= x << 17;
      for (size_t i = 0; i < sizeof word; i++)
        word[i] = (char) ('A' + (x >> (8 * i)) % 26);
      zp_buf_put_bytes (out, word, n);
      len -= n;
    }
}

int
sk_record_open (const char *file)
{
  return open (file, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
}

void
sk_record (int fd, const char *fmt, ...)
{
  struct zp_buf line = { .ptr = NULL };
  va_list ap;

  va_start (ap, fmt);
  zp_buf_vprintf (&line, fmt, ap);
  va_end (ap);
  zp_buf_put (&line, ZP_STR ("\n"));
  if (write (fd, line.ptr, line.len) != (ssize_t) line.len)
    {
      perror ("record");
      exit (2);
    }
  zp_buf_free (&line);
}
