/* NAME
     socket - options of the connections to backend servers

   DESCRIPTION
     Sets TCP timeouts, so that a request on a dead connection ends before its
     deadline: sent bytes must be acknowledged within ZP_CONN_ACK_TIMEOUT, and a
     connection that is idle for 1 s must answer one of two probes, 1 s
     apart.  */

#ifndef ZP_FORWARD_SOCKET_H
#define ZP_FORWARD_SOCKET_H

#include <curl/curl.h>

/* A curl_sockopt_callback.  An option that cannot be set is logged; the
   connection is used without it.  */
int fw_socket_open (void *self, curl_socket_t fd, curlsocktype purpose);

#endif
