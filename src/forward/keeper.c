#include "forward/keeper.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "forward/call.h"
#include "forward/keep.h"
#include "forward/socket.h"
#include "forward/transfer.h"
#include "wire/address.h"

struct fw_keeper
{
  struct fw_keeper *next;
  struct fw_client *client;
  struct zp_buf address, path;
  struct fw_keep keep;
  struct fw_call call;
  ev_io io; /* its file descriptor is -1 while closed */
  ev_timer timer;
};

static void step (struct fw_keeper *k, enum fw_keep_event event);

static bool
is_established (int fd)
{
  int error = 0;
  socklen_t len = sizeof error;

  return getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) == 0
         && error == 0;
}

/* Reads what the server has sent.  */
static enum fw_keep_event
read_answer (struct fw_keeper *k)
{
  char bytes[4096];
  ssize_t n = recv (k->io.fd, bytes, sizeof bytes, MSG_DONTWAIT);

  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return FW_KEEP_TIME;
  if (n <= 0 || k->keep.state != FW_KEEP_CALLING)
    return FW_KEEP_LOST;
  switch (fw_call_read (&k->call,
                        (struct zp_str){ .ptr = bytes, .len = (size_t) n }))
    {
    case FW_CALL_PENDING:
      return FW_KEEP_TIME;
    case FW_CALL_ANSWERED:
      return FW_KEEP_ANSWERED;
    case FW_CALL_BROKEN:
      break;
    }
  return FW_KEEP_LOST;
}

static void
on_ready (struct ev_loop *ev, ev_io *io, int events)
{
  struct fw_keeper *k = io->data;

  (void) events;
  if (k->keep.state != FW_KEEP_CONNECTING)
    {
      step (k, read_answer (k));
      return;
    }
  if (!is_established (io->fd))
    {
      step (k, FW_KEEP_LOST);
      return;
    }
  ev_io_stop (ev, io);
  ev_io_set (io, io->fd, EV_READ);
  ev_io_start (ev, io);
  step (k, FW_KEEP_CONNECTED);
}

static void
close_connection (struct fw_keeper *k)
{
  if (k->io.fd < 0)
    return;
  ev_io_stop (k->client->loop->ev, &k->io);
  close (k->io.fd);
  ev_io_set (&k->io, -1, EV_READ);
  fw_call_free (&k->call);
}

static bool
open_connection (struct fw_keeper *k)
{
  struct sockaddr_storage sa;
  socklen_t len;

  if (!wi_address_parse (zp_str_of (&k->address), &sa, &len, NULL))
    return false;
  int fd
      = socket (sa.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return false;
  fw_socket_open (NULL, fd, CURLSOCKTYPE_IPCXN);
  if (connect (fd, (struct sockaddr *) &sa, len) < 0 && errno != EINPROGRESS)
    {
      close (fd);
      return false;
    }
  ev_io_set (&k->io, fd, EV_WRITE);
  ev_io_start (k->client->loop->ev, &k->io);
  return true;
}

static bool
send_call (struct fw_keeper *k)
{
  struct zp_buf out = { .ptr = NULL };

  fw_call_begin (&k->call, k->client->names, zp_str_of (&k->address),
                 zp_str_of (&k->path), ++k->client->keepers.calls, &out);
  ssize_t n = send (k->io.fd, out.ptr, out.len, MSG_NOSIGNAL | MSG_DONTWAIT);
  bool sent = n >= 0 && (size_t) n == out.len;
  zp_buf_free (&out);
  return sent;
}

static void
set_timer (struct fw_keeper *k)
{
  struct ev_loop *ev = k->client->loop->ev;
  zp_time left = fw_keep_due (&k->keep) - zp_clock_mono ();

  ev_timer_stop (ev, &k->timer);
  ev_now_update (ev);
  ev_timer_set (&k->timer, left < 0 ? 0.0 : (double) left / (double) ZP_SEC,
                0.0);
  ev_timer_start (ev, &k->timer);
}

static void
step (struct fw_keeper *k, enum fw_keep_event event)
{
  bool failed = false;

  switch (fw_keep_step (&k->keep, event, zp_clock_mono ()))
    {
    case FW_KEEP_NOTHING:
      break;
    case FW_KEEP_CONNECT:
      failed = !open_connection (k);
      break;
    case FW_KEEP_CALL:
      failed = !send_call (k);
      break;
    case FW_KEEP_CLOSE:
      close_connection (k);
      fw_proof_lose_witness (k->client, k);
      break;
    }
  set_timer (k);
  if (event == FW_KEEP_ANSWERED && k->keep.called > 0)
    fw_proof_note_call (k->client, k, k->keep.called);
  if (failed)
    step (k, FW_KEEP_LOST);
}

static void
keeper_unlink (struct fw_keeper *k)
{
  struct fw_keepers *all = &k->client->keepers;
  struct fw_keeper **at = &all->first;

  while (*at != k)
    at = &(*at)->next;
  *at = k->next;
  all->count--;
}

static void
keeper_free (struct fw_keeper *k)
{
  close_connection (k);
  ev_timer_stop (k->client->loop->ev, &k->timer);
  fw_call_free (&k->call);
  zp_buf_free (&k->address);
  zp_buf_free (&k->path);
  free (k);
}

static void
on_time (struct ev_loop *ev, ev_timer *w, int events)
{
  struct fw_keeper *k = w->data;

  (void) ev;
  (void) events;
  step (k, FW_KEEP_TIME);
  if (!fw_keep_is_over (&k->keep, zp_clock_mono ()))
    return;
  keeper_unlink (k);
  keeper_free (k);
}

static struct fw_keeper *
keeper_for (struct fw_client *c, struct zp_str address)
{
  struct fw_keeper *k = c->keepers.first;

  while (k && !zp_str_eq (zp_str_of (&k->address), address))
    k = k->next;
  if (k || c->keepers.count >= FW_KEEPERS_MAX)
    return k;
  k = zp_alloc (sizeof *k);
  k->client = c;
  zp_buf_put (&k->address, address);
  ev_io_init (&k->io, on_ready, -1, EV_READ);
  k->io.data = k;
  ev_timer_init (&k->timer, on_time, 0.0, 0.0);
  k->timer.data = k;
  k->next = c->keepers.first;
  c->keepers.first = k;
  c->keepers.count++;
  return k;
}

struct fw_keeper *
fw_keeper_want (struct fw_client *c, struct zp_str address, struct zp_str path)
{
  struct fw_keeper *k = path.len > 0 ? keeper_for (c, address) : NULL;

  if (!k)
    return NULL;
  zp_buf_clear (&k->path);
  zp_buf_put (&k->path, path);
  step (k, FW_KEEP_WANTED);
  return k;
}

bool
fw_keeper_is_witness (const struct fw_keeper *k, zp_time sent)
{
  return fw_keep_is_witness (&k->keep, sent);
}

void
fw_keeper_ask (struct fw_keeper *k)
{
  step (k, FW_KEEP_ASKED);
}

void
fw_keepers_free (struct fw_client *c)
{
  for (struct fw_keeper *k = c->keepers.first, *next; k; k = next)
    {
      next = k->next;
      keeper_free (k);
    }
  c->keepers = (struct fw_keepers){ .first = NULL };
}
