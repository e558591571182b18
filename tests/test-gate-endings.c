/* Tests the gate with the real forward task and backend servers whose answers
   end with their connections.  */

#include "gate-fixture.h"

#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "wire/address.h"

#define SERVERS 3
#define PORT 19290

#define HEAD "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

static int
listen_at (const char *address)
{
  struct sockaddr_storage sa;
  socklen_t len;
  int one = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_FATAL (wi_address_parse (zp_str_from (address), &sa, &len, NULL));
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  CU_ASSERT_FATAL (bind (fd, (struct sockaddr *) &sa, len) == 0);
  CU_ASSERT_FATAL (listen (fd, 64) == 0);
  return fd;
}

/* Longest time until the connection of the forward task to a server whose
   answer ends with its connection.  */
#define WITNESS_MS 100

/* Serves one connection at a time, and resets the one that comes while an
   answer is sent.  */
static void
serve (int listener)
{
  const struct linger hard = { .l_onoff = 1 };
  char request[4096];

  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      if (recv (fd, request, sizeof request, 0) > 0)
        {
          send (fd, HEAD "hello", strlen (HEAD "hello"), MSG_NOSIGNAL);
          struct pollfd next = { .fd = listener, .events = POLLIN };
          if (poll (&next, 1, WITNESS_MS) > 0)
            {
              int other = accept (listener, NULL, NULL);
              setsockopt (other, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
              close (other);
            }
          send (fd, ", world", strlen (", world"), MSG_NOSIGNAL);
        }
      close (fd);
    }
}

static pid_t
start_server (const char *address)
{
  int listener = listen_at (address);
  pid_t pid = fork ();

  CU_ASSERT_FATAL (pid >= 0);
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      serve (listener);
    }
  close (listener);
  return pid;
}

/* Guards against a request that is refused because it crashes servers, when
   the servers run and limit their connections.  */
static void
test_servers_that_limit_their_connections (void)
{
  pid_t server[SERVERS];

  set_up ("7");
  struct fw_client *c = fw_client_open (&f.loop, &f.gate->task);
  f.gate->forward = fw_client_task (c);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      const char *address = test_address (PORT + i);
      char id[8];
      snprintf (id, sizeof id, "i-%u", i);
      server[i] = start_server (address);
      report_server (id, address, TK_SERVER_READY, 1);
    }
  for (uint64_t http = 1; http <= 2 * SERVERS; http++)
    {
      size_t answers = f.answers;
      send_request (http);
      RUN_UNTIL (f.answers > answers);
    }
  const struct st_crash_table *t = &f.gate->crash_suspects;
  for (size_t i = 0; i < t->len; i++)
    CU_ASSERT_FALSE (
        st_crash_refuses (t, t->entry[i].fingerprint, zp_clock_mono ()));
  f.gate->forward = &f.forward;
  fw_client_close (c);
  tear_down ();
  for (unsigned i = 0; i < SERVERS; i++)
    {
      kill (server[i], SIGKILL);
      waitpid (server[i], NULL, 0);
    }
}

static const struct zp_test tests[] = {
  { "servers that limit their connections",
    test_servers_that_limit_their_connections },
};

TEST_MAIN ("gate-endings", tests)
