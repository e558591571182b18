#include "forward/excess.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stddef.h>
#include <sys/socket.h>

/* TCP_CLOSE_WAIT of <netinet/tcp.h>, which conflicts with <linux/tcp.h>.  */
#define CLOSE_WAIT 8

bool
fw_excess_check (struct fw_excess *x, uint64_t raw, uint64_t body)
{
  if (!x->begun)
    *x = (struct fw_excess){ .begun = true, .raw = raw, .body = body };
  return raw - x->raw > FW_EXCESS_FACTOR * (body - x->body) + FW_EXCESS_MAX;
}

bool
fw_excess_received (curl_socket_t fd, uint64_t *out)
{
  struct tcp_info info = { .tcpi_state = 0 };
  socklen_t len = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &len) < 0
      || len < offsetof (struct tcp_info, tcpi_bytes_received)
                   + sizeof info.tcpi_bytes_received)
    return false;
  /* The kernel counts the FIN.  */
  *out = info.tcpi_bytes_received - (info.tcpi_state == CLOSE_WAIT);
  return true;
}
