#include "forward/pool.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "forward/excess.h"

uint64_t
fw_pool_server (struct zp_str address)
{
  return zp_str_hash (address, 0);
}

static struct fw_pool_connection *
find (const struct fw_pool *p, curl_socket_t fd)
{
  return fd >= 0 && (size_t) fd < p->len && p->item[fd].open ? &p->item[fd]
                                                             : NULL;
}

void
fw_pool_add (struct fw_pool *p, curl_socket_t fd, struct zp_str address)
{
  size_t place = (size_t) fd;

  assert (fd >= 0);
  if (place >= p->len)
    {
      size_t len = place < 32 ? 64 : 2 * place;
      p->item = zp_realloc (p->item, len * sizeof *p->item);
      memset (p->item + p->len, 0, (len - p->len) * sizeof *p->item);
      p->len = len;
    }
  p->item[place]
      = (struct fw_pool_connection){ .open = true,
                                     .server = fw_pool_server (address) };
}

void
fw_pool_note_port (struct fw_pool *p, curl_socket_t fd, int port)
{
  struct fw_pool_connection *x = find (p, fd);

  if (x)
    x->port = port;
}

curl_socket_t
fw_pool_find (const struct fw_pool *p, struct zp_str address, int port)
{
  uint64_t server = fw_pool_server (address);

  for (size_t i = 0; i < p->len; i++)
    if (p->item[i].open && p->item[i].port == port
        && p->item[i].server == server)
      return (curl_socket_t) i;
  return CURL_SOCKET_BAD;
}

void
fw_pool_remove (struct fw_pool *p, curl_socket_t fd)
{
  struct fw_pool_connection *x = find (p, fd);

  if (x)
    x->open = false;
}

void
fw_pool_note_answer (struct fw_pool *p, curl_socket_t fd, uint64_t bytes,
                     zp_time now)
{
  struct fw_pool_connection *x = find (p, fd);

  if (!x)
    return;
  if (x->answered == 0)
    x->answered = now;
  x->taken += bytes;
}

uint64_t
fw_pool_server_of (const struct fw_pool *p, curl_socket_t fd)
{
  const struct fw_pool_connection *x = find (p, fd);

  assert (x);
  return x->server;
}

bool
fw_pool_pending (const struct fw_pool *p, curl_socket_t fd, uint64_t *out)
{
  const struct fw_pool_connection *x = find (p, fd);
  uint64_t received;

  if (!x || !fw_excess_received (fd, &received) || received < x->taken)
    return false;
  *out = received - x->taken;
  return true;
}

/* Bytes that wait to be read can hide the end behind them, so that such a
   connection does not count.  */
static bool
is_open (curl_socket_t fd)
{
  char byte;

  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
fw_pool_has_open (const struct fw_pool *p, struct zp_str address,
                  curl_socket_t except, zp_time sent)
{
  uint64_t server = fw_pool_server (address);

  for (size_t i = 0; i < p->len; i++)
    {
      const struct fw_pool_connection *x = &p->item[i];
      if (x->open && x->server == server && x->answered > 0
          && x->answered < sent && (curl_socket_t) i != except
          && is_open ((curl_socket_t) i))
        return true;
    }
  return false;
}

void
fw_pool_free (struct fw_pool *p)
{
  free (p->item);
  *p = (struct fw_pool){ .len = 0 };
}
