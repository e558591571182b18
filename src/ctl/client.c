#include "ctl/client.h"

#include <curl/curl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/limits.h"
#include "forward/chunks.h"
#include "forward/framing.h"

#define CONNECT_TIMEOUT_MS 700L

/* Time for one attempt at one server.  A leader needs a few round trips
   between regions, of 110 ms each, and a disk sync to answer.  A server that
   does not answer in this time is frozen or unreachable.  The request may be
   sent to another server then, because it takes effect once.  */
#define ATTEMPT_TIMEOUT (700 * ZP_MS)
#define ROUND_PAUSE (300 * ZP_MS) /* after each round of all servers */
#define REDIRECTS_MAX 3u

/* Bytes of an answer.  The longest answer of a daemon is a page of objects,
   which is shorter; a longer answer comes from some other program.  */
#define ANSWER_MAX (4 * ZP_BODY_MAX)

/* An answer while it arrives.  */
struct receipt
{
  struct fw_framing framing;
  struct fw_chunks chunks; /* FW_BODY_CHUNKED */
  struct zp_buf *body;
};

static size_t
on_header (char *bytes, size_t size, size_t n, void *self)
{
  struct receipt *x = self;
  struct zp_str line = { .ptr = bytes, .len = size * n };

  return fw_framing_line (&x->framing, line) == FW_LINE_MALFORMED ? 0
                                                                  : size * n;
}

/* Removes the next bytes of the body from REST.  Returns false when a chunk is
   malformed.  */
static bool
read_chunk (struct receipt *x, struct zp_str *rest)
{
  struct fw_piece piece = fw_chunks_read (&x->chunks, rest);

  switch (piece.kind)
    {
    case FW_PIECE_NONE:
      return true;
    case FW_PIECE_DATA:
      zp_buf_put (x->body, piece.u.bytes);
      return true;
    case FW_PIECE_TRAILER:
      return fw_framing_line (&x->framing, piece.u.bytes) == FW_LINE_TRAILER;
    case FW_PIECE_END:
      rest->len = 0;
      return true;
    case FW_PIECE_MALFORMED:
      break;
    }
  return false;
}

static size_t
on_body (char *bytes, size_t size, size_t n, void *self)
{
  struct receipt *x = self;
  struct zp_str rest = { .ptr = bytes, .len = size * n };

  if (x->body->len + rest.len > ANSWER_MAX)
    return 0;
  if (x->framing.body.kind != FW_BODY_CHUNKED)
    {
      zp_buf_put (x->body, rest);
      return size * n;
    }
  while (rest.len > 0)
    if (!read_chunk (x, &rest))
      return 0;
  return size * n;
}

static bool
is_json (struct zp_str text)
{
  struct json_object *root = zp_json_parse (text, NULL);
  bool valid = root != NULL;

  json_object_put (root);
  return valid;
}

/* Whether an answer that broke off was completed by the begin of another one.
   The daemons answer with JSON, where a string can have a status line, but no
   line end.  */
static bool
is_spliced (struct zp_str body)
{
  return (fw_begins_status_line (body) || fw_contains_status_line (body))
         && (memchr (body.ptr, '\r', body.len) || !is_json (body));
}

/* Whether the answer was received whole.  The daemons announce the length of
   each body or send it in chunks.  The end of a connection, which the kernel
   of a killed process reports too, proves nothing.  */
static bool
is_whole (const struct receipt *x)
{
  switch (x->framing.body.kind)
    {
    case FW_BODY_TO_CLOSE:
      return false;
    case FW_BODY_CHUNKED:
      if (!fw_chunks_are_whole (&x->chunks))
        return false;
      break;
    case FW_BODY_LENGTH:
    case FW_BODY_NONE:
      break;
    }
  return fw_framing_is_whole (&x->framing, x->body->len)
         && !is_spliced (zp_str_of (x->body));
}

static long
milliseconds (zp_time t)
{
  /* To libcurl a timeout of 0 means no limit.  */
  return t > ZP_MS ? (long) (t / ZP_MS) : 1;
}

/* Each request gets a connection of its own: what arrives on it is the answer
   to no other request.  The chunks are read by fw_chunks_read.  */
static void
set_options (CURL *h, const struct zc_request *r, struct curl_slist *headers,
             char *error)
{
  curl_easy_setopt (h, CURLOPT_ERRORBUFFER, error);
  curl_easy_setopt (h, CURLOPT_CUSTOMREQUEST, r->method);
  if (strcmp (r->method, "POST") == 0)
    {
      curl_easy_setopt (h, CURLOPT_POSTFIELDSIZE, (long) r->body.len);
      curl_easy_setopt (h, CURLOPT_POSTFIELDS, r->body.ptr ? r->body.ptr : "");
      curl_easy_setopt (h, CURLOPT_HTTPHEADER, headers);
    }
  curl_easy_setopt (h, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (h, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (h, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (h, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt (h, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (h, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (h, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (h, CURLOPT_HEADERFUNCTION, on_header);
}

/* Sends the request once, without following a redirect.  */
static bool
perform_once (CURL *h, zp_time limit, struct zc_answer *out, char *error)
{
  struct receipt x = { .body = &out->body };

  zp_buf_clear (&out->body);
  curl_easy_setopt (h, CURLOPT_TIMEOUT_MS, milliseconds (limit));
  curl_easy_setopt (h, CURLOPT_WRITEDATA, &x);
  curl_easy_setopt (h, CURLOPT_HEADERDATA, &x);
  bool ended = curl_easy_perform (h) == CURLE_OK;
  bool whole = ended && is_whole (&x);
  fw_chunks_free (&x.chunks);
  if (ended && !whole)
    snprintf (error, CURL_ERROR_SIZE,
              "the answer ended early, has no length or is not one answer");
  out->status = x.framing.status;
  return whole;
}

/* Only a redirect whose answer is whole is followed.  */
static bool
perform (CURL *h, zp_time limit, struct zc_answer *out, char *error)
{
  zp_time deadline = zp_clock_mono () + limit;

  for (unsigned i = 0; i <= REDIRECTS_MAX; i++)
    {
      char *url = NULL;
      if (!perform_once (h, deadline - zp_clock_mono (), out, error))
        return false;
      if (out->status != 307)
        return true;
      curl_easy_getinfo (h, CURLINFO_REDIRECT_URL, &url);
      if (!url)
        return true;
      curl_easy_setopt (h, CURLOPT_URL, url);
    }
  snprintf (error, CURL_ERROR_SIZE, "more than %u redirects", REDIRECTS_MAX);
  return false;
}

bool
zc_send_to (struct zp_str server, const struct zc_request *r, zp_time limit,
            struct zc_answer *out, struct zp_err *err)
{
  char error[CURL_ERROR_SIZE] = "";
  struct zp_buf url = { .ptr = NULL };
  struct curl_slist *headers
      = curl_slist_append (NULL, "Content-Type: application/json");
  CURL *h = curl_easy_init ();
  bool ok = false;

  /* An empty Expect header keeps libcurl from waiting for "100 Continue"
     before it sends the body.  */
  headers = curl_slist_append (headers, "Expect:");
  zp_buf_printf (&url, "http://%.*s%.*s", ZP_ARG (server), ZP_ARG (r->target));
  if (h)
    {
      curl_easy_setopt (h, CURLOPT_URL, url.ptr);
      set_options (h, r, headers, error);
      ok = perform (h, limit, out, error);
    }
  curl_easy_cleanup (h);
  curl_slist_free_all (headers);
  zp_buf_free (&url);
  return ok
         || zp_fail (err, ZP_EUNAVAIL, "%.*s: %s", ZP_ARG (server),
                     error[0] ? error : "no answer");
}

void
zc_pause (zp_time t)
{
  const struct timespec ts
      = { .tv_sec = t / ZP_SEC, .tv_nsec = t % ZP_SEC * 1000 };

  nanosleep (&ts, NULL);
}

bool
zc_send (const struct zc_client *c, const struct zc_request *r,
         struct zc_answer *out, struct zp_err *err)
{
  zp_time now = zp_clock_mono (), deadline = now + c->limit;

  for (;;)
    {
      for (size_t i = 0; i < c->servers.len && now < deadline; i++)
        {
          zp_time limit = deadline - now < ATTEMPT_TIMEOUT ? deadline - now
                                                           : ATTEMPT_TIMEOUT;
          bool answered = zc_send_to (c->servers.item[i], r, limit, out, err);
          if (answered && out->status != 503)
            return true;
          if (answered)
            zp_fail (err, ZP_EUNAVAIL, "%.*s: no leader can take requests now",
                     ZP_ARG (c->servers.item[i]));
          now = zp_clock_mono ();
        }
      if (now + ROUND_PAUSE >= deadline)
        return false;
      zc_pause (ROUND_PAUSE);
      now = zp_clock_mono ();
    }
}
