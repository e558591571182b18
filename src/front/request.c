#include "front/request.h"

#include <netinet/in.h>
#include <string.h>

#include "base/limits.h"

/* Bytes of the first line of a head beside the target.  */
#define REQUEST_LINE 32

/* Fields that are read.  */
enum field
{
  FIELD_DEADLINE,
  FIELD_KEY,
  FIELD_CONTENT_TYPE,
  FIELD_REQUEST_ID,
  FIELD_HOST,
  FIELD_AFFINITY,
  FIELD_CREDENTIAL,
  FIELD_OTHER,
};

/* Where on_header stores the headers.  */
struct context
{
  const struct fr_header_names *names;
  struct tk_http_request *request;
  struct fr_body *body;
  unsigned seen; /* bit of each enum field that was read */
};

static enum field
field_of (const struct fr_header_names *names, struct zp_str name)
{
  const char *const known[FIELD_OTHER] = {
    [FIELD_DEADLINE] = names->deadline_ms,
    [FIELD_KEY] = names->key,
    [FIELD_CONTENT_TYPE] = "Content-Type",
    [FIELD_REQUEST_ID] = names->request_id,
    [FIELD_HOST] = "Host",
    [FIELD_AFFINITY] = names->affinity,
    [FIELD_CREDENTIAL] = names->credential,
  };

  for (unsigned i = 0; i < FIELD_OTHER; i++)
    if (fr_header_is (name, known[i]))
      return (enum field) i;
  return FIELD_OTHER;
}

static void
read_deadline (struct tk_http_request *r, struct zp_str value)
{
  uint64_t ms;

  if (!zp_str_u64 (value, &ms) || ms == 0
      || ms > (uint64_t) (ZP_DEADLINE_MAX / ZP_MS))
    r->bad_header = true;
  else
    r->deadline = zp_clock_mono () + (zp_time) ms * ZP_MS;
}

static void
read_key (struct tk_http_request *r, struct zp_str value)
{
  if (value.len == 0 || value.len > ZP_KEY_MAX)
    r->bad_header = true;
  else
    zp_buf_put (&r->key, value);
}

static enum MHD_Result
on_header (void *self, enum MHD_ValueKind kind, const char *name,
           size_t name_len, const char *value, size_t value_len)
{
  struct context *c = self;
  struct tk_http_request *r = c->request;
  struct zp_str n = { .ptr = name, .len = name_len };
  struct zp_str v = { .ptr = value, .len = value_len };
  enum field field = field_of (c->names, n);

  (void) kind;
  fr_body_read_field (c->body, n, v);
  if (field != FIELD_OTHER && (c->seen & 1u << field))
    {
      c->body->kind = FR_BODY_UNCERTAIN;
      return MHD_YES;
    }
  c->seen |= 1u << field;
  switch (field)
    {
    case FIELD_DEADLINE:
      read_deadline (r, v);
      break;
    case FIELD_KEY:
      read_key (r, v);
      break;
    case FIELD_CONTENT_TYPE:
      zp_buf_put (&r->content_type, v);
      break;
    case FIELD_REQUEST_ID:
      zp_buf_put (&r->request_id, v);
      break;
    case FIELD_HOST:
      zp_buf_put (&r->host, v);
      break;
    case FIELD_AFFINITY:
      zp_buf_put (&r->affinity, v);
      fr_header_put (c->names, &r->headers, n, v);
      break;
    case FIELD_CREDENTIAL:
      zp_buf_put (&r->credential, fr_header_trim (v));
      break;
    case FIELD_OTHER:
      fr_header_put (c->names, &r->headers, n, v);
      break;
    }
  return MHD_YES;
}

static uint32_t
caller_ipv4 (struct MHD_Connection *conn)
{
  const union MHD_ConnectionInfo *i
      = MHD_get_connection_info (conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

  if (!i || !i->client_addr || i->client_addr->sa_family != AF_INET)
    return 0;
  struct sockaddr_in sa;
  memcpy (&sa, i->client_addr, sizeof sa);
  return ntohl (sa.sin_addr.s_addr);
}

void
fr_request_read (struct MHD_Connection *conn, const char *method,
                 struct zp_str target, const struct fr_header_names *names,
                 struct tk_http_request *r, struct fr_body *body)
{
  struct context c = { .names = names, .request = r, .body = body };
  struct zp_str path, query;

  r->has_query = zp_str_split (target, '?', &path, &query);
  zp_buf_put (&r->method, zp_str_from (method));
  zp_buf_put (&r->path, path);
  zp_buf_put (&r->query, query);
  r->caller_ipv4 = caller_ipv4 (conn);
  fr_body_read_line (body, zp_str_from (method), target);
  MHD_get_connection_values_n (conn, MHD_HEADER_KIND, on_header, &c);
}

static enum MHD_Result
on_trailer (void *self, enum MHD_ValueKind kind, const char *name,
            size_t name_len, const char *value, size_t value_len)
{
  (void) kind;
  fr_body_read_trailer (self, (struct zp_str){ .ptr = name, .len = name_len },
                        (struct zp_str){ .ptr = value, .len = value_len });
  return MHD_YES;
}

void
fr_request_read_trailer (struct MHD_Connection *conn, struct fr_body *body)
{
  MHD_get_connection_values_n (conn, MHD_FOOTER_KIND, on_trailer, body);
}

bool
fr_request_head_fits (struct MHD_Connection *conn, size_t target, size_t max)
{
  const union MHD_ConnectionInfo *i = MHD_get_connection_info (
      conn, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

  return max == 0 || !i || i->header_size <= max + target + REQUEST_LINE;
}
