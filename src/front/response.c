#include "front/response.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/counter.h"
#include "base/log.h"

#define PART "front"

static void
add_header (struct MHD_Response *r, const char *name, const char *value)
{
  MHD_add_response_header (r, name, value);
}

static void
add_header_block (struct MHD_Response *r, struct zp_str block)
{
  struct zp_str name, value;

  while (fr_header_next (&block, &name, &value))
    {
      char n[128], v[4096];
      if (zp_str_copy (n, sizeof n, name) && zp_str_copy (v, sizeof v, value))
        add_header (r, n, v);
    }
}

static void
release_body (void *body)
{
  free (body);
}

struct MHD_Response *
fr_response_new (struct tk_http_answer *a, const struct fr_header_names *names,
                 const char *request_id, bool close)
{
  /* The response takes ownership of the body.  */
  struct MHD_Response *r = MHD_create_response_from_buffer_with_free_callback (
      a->body.len, a->body.ptr ? a->body.ptr : zp_alloc (1), release_body);
  char seconds[24];

  a->body = (struct zp_buf){ .ptr = NULL };
  if (!r)
    return NULL;
  if (a->has_verdict && names->verdict)
    add_header (r, names->verdict, zp_verdict_name (a->verdict));
  if (a->retry_after_ms > 0 || a->retry_after_s > 0)
    {
      if (a->retry_after_ms > 0)
        snprintf (seconds, sizeof seconds, "%u.%03u", a->retry_after_ms / 1000,
                  a->retry_after_ms % 1000);
      else
        snprintf (seconds, sizeof seconds, "%u", a->retry_after_s);
      add_header (r, "Retry-After", seconds);
    }
  if (request_id[0] != '\0')
    add_header (r, names->request_id, request_id);
  if (a->location.len > 0)
    add_header (r, "Location", a->location.ptr);
  if (a->content_type.len > 0)
    add_header (r, "Content-Type", a->content_type.ptr);
  add_header_block (r, zp_str_of (&a->headers));
  if (close)
    add_header (r, "Connection", "close");
  return r;
}

/* Replaces A by a refusal with REASON.  A verdict that is not set promises
   nothing.  */
static void
replace_answer (struct tk_http_answer *a, const char *reason)
{
  enum zp_verdict v = a->has_verdict ? a->verdict : ZP_MAY_HAVE_RUN;

  zp_buf_free (&a->body);
  zp_buf_clear (&a->headers);
  zp_buf_clear (&a->content_type);
  zp_buf_put (&a->content_type, ZP_STR ("application/json"));
  a->status = v == ZP_NOT_RUN ? 503 : 502;
  zp_buf_printf (&a->body, "{\"reason\":\"%s\",\"verdict\":\"%s\"}\n", reason,
                 zp_verdict_name (v));
}

void
fr_response_check_status (struct tk_http_answer *a)
{
  if (a->status >= 200 && a->status <= 599)
    return;
  zp_log (ZP_LOG_ERR, PART, "answer %" PRIu64 ": status %u is invalid", a->id,
          a->status);
  replace_answer (a, "no-answer");
}

void
fr_response_drop_body (struct tk_http_answer *a)
{
  replace_answer (a, "no-room-for-answer");
  zp_count (zp_counter ("zp_http_answers_dropped_total", ""), 1);
}
