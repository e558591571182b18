/* NAME
     pool - the connections that libcurl has to backend servers

   DESCRIPTION
     libcurl opens, keeps and closes the connections; this table has one entry
     for each of them.  A connection that has brought a whole answer was taken by
     the server's process, which closes it when it ends.  One that is only
     established need not have been: the kernel of the server completes it.

     A connection is a stream of answers.  The bytes that belonged to whole
     answers are its taken ones; those that it has brought beyond them are
     pending.  What is pending behind an answer that has come whole is its
     surplus: bytes of another answer, or of none.  */

#ifndef ZP_FORWARD_POOL_H
#define ZP_FORWARD_POOL_H

#include <curl/curl.h>

#include "base/clock.h"
#include "base/str.h"

struct fw_pool_connection
{
  bool open;
  uint64_t server;  /* hash of its address */
  int port;         /* local */
  zp_time answered; /* its first whole answer; 0: none yet */
  uint64_t taken;   /* bytes of whole answers */
};

struct fw_pool
{
  struct fw_pool_connection *item; /* its file descriptor is the index */
  size_t len;
};

/* Notes a connection that is about to be opened to ADDRESS.  */
void fw_pool_add (struct fw_pool *p, curl_socket_t fd, struct zp_str address);

/* Notes the local port of FD.  */
void fw_pool_note_port (struct fw_pool *p, curl_socket_t fd, int port);

/* The connection to ADDRESS with the local PORT, or CURL_SOCKET_BAD.  */
curl_socket_t fw_pool_find (const struct fw_pool *p, struct zp_str address,
                            int port);

/* Notes that FD is about to be closed.  */
void fw_pool_remove (struct fw_pool *p, curl_socket_t fd);

/* Notes that FD has brought a whole answer of BYTES, with its head.  */
void fw_pool_note_answer (struct fw_pool *p, curl_socket_t fd, uint64_t bytes,
                          zp_time now);

/* The hash of ADDRESS that stands for a server.  */
uint64_t fw_pool_server (struct zp_str address);

/* The server of the connection FD, which is in the table.  */
uint64_t fw_pool_server_of (const struct fw_pool *p, curl_socket_t fd);

/* Sets OUT to the bytes that FD has brought behind its whole answers.  Returns
   false where the kernel does not tell, or FD is not in the table.  */
bool fw_pool_pending (const struct fw_pool *p, curl_socket_t fd,
                      uint64_t *out);

/* Whether a connection to ADDRESS other than EXCEPT has brought a whole answer
   before SENT and is open.  One that was only begun before SENT can have been
   taken by a process that was started after it.  Looks at the sockets.  */
bool fw_pool_has_open (const struct fw_pool *p, struct zp_str address,
                       curl_socket_t except, zp_time sent);

void fw_pool_free (struct fw_pool *p);

#endif
