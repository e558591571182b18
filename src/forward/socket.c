#include "forward/socket.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "base/limits.h"
#include "base/log.h"

#define PART "forward"

int
fw_socket_open (void *self, curl_socket_t fd, curlsocktype purpose)
{
  const unsigned user_timeout = (unsigned) (ZP_CONN_ACK_TIMEOUT / ZP_MS);
  const int on = 1, seconds = 1, probes = 2;

  (void) self;
  (void) purpose;
  if (setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
                  sizeof user_timeout)
          < 0
      || setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on) < 0
      || setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof seconds)
             < 0
      || setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof seconds)
             < 0
      || setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes) < 0)
    zp_log (ZP_LOG_WARNING, PART,
            "cannot set the TCP timeouts of a connection: %s",
            strerror (errno));
  return CURL_SOCKOPT_OK;
}
