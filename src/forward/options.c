/* How a request is sent: the options of its transfer in libcurl.  */

#include <stdlib.h>

#include "base/limits.h"
#include "base/log.h"
#include "forward/socket.h"
#include "forward/transfer.h"
#include "front/target.h"

/* Bytes of one read; most answers are shorter.  libcurl reads up to 100 times
   from one connection before fw_excess_check can end it: with its default of
   16 KiB, to skip as many bytes between chunks takes some 10 ms.  */
#define READ_SIZE 4096L

static long
milliseconds (zp_time t)
{
  return t < ZP_MS ? 1L : (long) (t / ZP_MS);
}

static void add_request_header (struct fw_transfer *t, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
add_request_header (struct fw_transfer *t, const char *fmt, ...)
{
  struct zp_buf line = { .ptr = NULL };
  va_list ap;

  va_start (ap, fmt);
  zp_buf_vprintf (&line, fmt, ap);
  va_end (ap);
  struct curl_slist *l = curl_slist_append (t->headers, line.ptr);
  zp_buf_free (&line);
  if (!l)
    abort ();
  t->headers = l;
}

static void
build_headers (struct fw_transfer *t, zp_time left)
{
  struct tk_forward *f = &t->request->u.forward;
  struct zp_str rest = zp_str_of (&f->headers);
  struct zp_str name, value;

  const struct fr_header_names *names = t->client->names;
  add_request_header (t, "%s: %ld", names->deadline_ms, milliseconds (left));
  add_request_header (t, "%s: %.*s", names->request_id,
                      ZP_ARG (zp_str_of (&f->request_id)));
  if (names->expect && f->expect[0])
    add_request_header (t, "%s: %s", names->expect, f->expect);
  if (names->workspace && f->workspace.len > 0)
    add_request_header (t, "%s: %.*s", names->workspace,
                        ZP_ARG (zp_str_of (&f->workspace)));
  /* The backend server gets the Host header of the caller's request.  */
  if (f->host.len > 0)
    add_request_header (t, "Host: %.*s", ZP_ARG (zp_str_of (&f->host)));
  /* Disables "Expect: 100-continue", with which libcurl waits up to 1 s for an
     interim answer.  */
  add_request_header (t, "Expect:");
  if (f->content_type.len > 0)
    add_request_header (t, "Content-Type: %s", f->content_type.ptr);
  else
    add_request_header (t, "Content-Type:");
  while (fr_header_next (&rest, &name, &value))
    add_request_header (t, "%.*s: %.*s", ZP_ARG (name), ZP_ARG (value));
}

static void
set_method (struct fw_transfer *t)
{
  struct tk_forward *f = &t->request->u.forward;
  struct zp_str method = zp_str_of (&f->method);

  if (f->body.len > 0 || zp_str_eq (method, ZP_STR ("POST"))
      || zp_str_eq (method, ZP_STR ("PUT")))
    {
      curl_easy_setopt (t->easy, CURLOPT_POST, 1L);
      curl_easy_setopt (t->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t) f->body.len);
      curl_easy_setopt (t->easy, CURLOPT_POSTFIELDS,
                        f->body.ptr ? f->body.ptr : "");
    }
  if (zp_str_eq (method, ZP_STR ("HEAD")))
    curl_easy_setopt (t->easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (t->easy, CURLOPT_CUSTOMREQUEST, f->method.ptr);
}

/* The target is not part of the URL, because libcurl changes the path and the
   query of a URL.  Without a URL, a transfer fails before it connects.  */
static void
set_target (struct fw_transfer *t)
{
  struct tk_forward *f = &t->request->u.forward;
  struct zp_buf url = { .ptr = NULL };

  if (!fr_target_is_valid (zp_str_of (&f->target)))
    {
      zp_log (ZP_LOG_WARNING, "forward",
              "did not send a request to %s: its target of %zu bytes is not "
              "valid",
              f->address, f->target.len);
      return;
    }
  zp_buf_printf (&url, "http://%s/", f->address);
  curl_easy_setopt (t->easy, CURLOPT_URL, url.ptr);
  zp_buf_free (&url);
  curl_easy_setopt (t->easy, CURLOPT_REQUEST_TARGET, f->target.ptr);
}

void
fw_transfer_set_options (struct fw_transfer *t, zp_time left)
{
  struct tk_forward *f = &t->request->u.forward;
  CURL *e = t->easy;
  zp_time connect = left < ZP_CONNECT_TIMEOUT ? left : ZP_CONNECT_TIMEOUT;

  set_target (t);
  curl_easy_setopt (e, CURLOPT_PRIVATE, t);
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  curl_easy_setopt (e, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (e, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, milliseconds (left));
  /* The chunks are read by fw_answer_bytes.  */
  curl_easy_setopt (e, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt (e, CURLOPT_BUFFERSIZE, READ_SIZE);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS, milliseconds (connect));
  curl_easy_setopt (
      e, CURLOPT_MAXAGE_CONN,
      (long) ((f->idle_max > 0 ? f->idle_max : ZP_CONN_IDLE_MAX) / ZP_SEC));
  curl_easy_setopt (e, CURLOPT_MAXLIFETIME_CONN,
                    (long) (ZP_CONN_AGE_MAX / ZP_SEC));
  curl_easy_setopt (e, CURLOPT_FRESH_CONNECT,
                    f->fresh_connection || t->alone ? 1L : 0L);
  curl_easy_setopt (e, CURLOPT_FORBID_REUSE, t->alone ? 1L : 0L);
  curl_easy_setopt (e, CURLOPT_SOCKOPTFUNCTION, fw_socket_open);
  set_method (t);
  build_headers (t, left);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, t->headers);
}
