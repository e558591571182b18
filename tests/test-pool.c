/* Tests which connections of the pool show that a server's process runs.  */

#include "harness.h"

#include <sys/socket.h>

#include "forward/pool.h"

#define SERVER ZP_STR ("10.0.0.1:80")
#define OTHER ZP_STR ("10.0.0.2:80")

/* A connection to SERVER of the pool P; its other end is END.  */
static curl_socket_t
add_connection (struct fw_pool *p, int *end, zp_time answered)
{
  int pair[2];

  CU_ASSERT_FATAL (socketpair (AF_UNIX, SOCK_STREAM, 0, pair) == 0);
  *end = pair[1];
  fw_pool_add (p, pair[0], SERVER);
  if (answered > 0)
    fw_pool_note_answer (p, pair[0], 0, answered);
  return pair[0];
}

/* Guards against a proof by a connection that shows nothing: of another
   server, answered too late, without an answer, or the one of the answer.  */
static void
test_which_connections_count (void)
{
  struct fw_pool p = { .len = 0 };
  int end[2];
  curl_socket_t silent = add_connection (&p, &end[0], 0);
  curl_socket_t used = add_connection (&p, &end[1], 5);

  CU_ASSERT (fw_pool_has_open (&p, SERVER, CURL_SOCKET_BAD, 6));
  CU_ASSERT_FALSE (fw_pool_has_open (&p, OTHER, CURL_SOCKET_BAD, 6));
  CU_ASSERT_FALSE (fw_pool_has_open (&p, SERVER, CURL_SOCKET_BAD, 5));
  CU_ASSERT_FALSE (fw_pool_has_open (&p, SERVER, used, 6));
  fw_pool_remove (&p, used);
  CU_ASSERT_FALSE (fw_pool_has_open (&p, SERVER, CURL_SOCKET_BAD, 6));
  fw_pool_note_answer (&p, silent, 0, 6);
  CU_ASSERT_FALSE (fw_pool_has_open (&p, SERVER, CURL_SOCKET_BAD, 6));
  fw_pool_note_answer (&p, silent, 0, 7);
  CU_ASSERT (fw_pool_has_open (&p, SERVER, CURL_SOCKET_BAD, 7));
  fw_pool_free (&p);
  close (silent);
  close (used);
  close (end[0]);
  close (end[1]);
}

/* Guards against a proof by a connection that the server has closed, also when
   bytes wait before the end.  */
static void
test_closed_connections (void)
{
  struct fw_pool p = { .len = 0 };
  int end[2];
  curl_socket_t closed = add_connection (&p, &end[0], 5);

  close (end[0]);
  CU_ASSERT_FALSE (fw_pool_has_open (&p, SERVER, CURL_SOCKET_BAD, 6));
  curl_socket_t unread = add_connection (&p, &end[1], 5);
  CU_ASSERT (fw_pool_has_open (&p, SERVER, CURL_SOCKET_BAD, 6));
  CU_ASSERT (send (end[1], "x", 1, 0) == 1);
  close (end[1]);
  CU_ASSERT_FALSE (fw_pool_has_open (&p, SERVER, CURL_SOCKET_BAD, 6));
  fw_pool_free (&p);
  close (closed);
  close (unread);
}

static const struct zp_test tests[] = {
  { "which connections count", test_which_connections_count },
  { "connections that are closed", test_closed_connections },
};

TEST_MAIN ("pool", tests)
