#include <arpa/inet.h>
#include <json-c/json.h>
#include <string.h>

#include "base/log.h"
#include "entry/answer.h"
#include "entry/router.h"

#define PART "lookup"

static const char *
scope_name (enum st_scope s)
{
  switch (s)
    {
    case ST_SCOPE_DOMAIN:
      return "same failure domain";
    case ST_SCOPE_REGION:
      return "same region";
    case ST_SCOPE_REMOTE:
      return "other region";
    case ST_SCOPE_DRAINED:
      return "only drained entries are left";
    case ST_SCOPE_SELF:
      return "no other entry is known";
    }
  return "";
}

/* The caller's IPv4 address: from the query, else from the connection.
   Returns false when the query has one that is not valid.  */
static bool
caller_address (const struct tk_http_request *q, uint32_t *out)
{
  struct zp_str text = en_query (zp_str_of (&q->query), "caller");
  char ip[INET_ADDRSTRLEN];
  struct in_addr a;

  *out = q->caller_ipv4;
  if (text.len == 0)
    return true;
  if (!zp_str_copy (ip, sizeof ip, text) || inet_pton (AF_INET, ip, &a) != 1)
    return false;
  *out = ntohl (a.s_addr);
  return true;
}

static void
add_text (struct json_object *o, const char *key, struct zp_str s)
{
  json_object_object_add (o, key,
                          json_object_new_string_len (s.ptr, (int) s.len));
}

static struct json_object *
entry_json (const struct en_member *e)
{
  struct json_object *o = json_object_new_object ();

  json_object_object_add (o, "id", json_object_new_int64 ((int64_t) e->id));
  add_text (o, "address", zp_str_from (e->http));
  add_text (o, "failure_domain", zp_str_from (e->failure_domain));
  add_text (o, "region", zp_str_from (e->region));
  return o;
}

static void
log_decision (const struct en_router *r, struct zp_str service,
              uint32_t address, const struct st_lookup_answer *a)
{
  char ip[INET_ADDRSTRLEN] = "";
  struct in_addr in = { .s_addr = htonl (address) };

  if (!zp_log_enabled (ZP_LOG_INFO))
    return;
  inet_ntop (AF_INET, &in, ip, sizeof ip);
  zp_log (ZP_LOG_INFO, PART, "service %.*s caller %s -> entry %llu: %s%s",
          ZP_ARG (service), ip,
          (unsigned long long) r->members.item[a->entries[0]].id,
          scope_name (a->scope), a->moved ? ", moved by a shift" : "");
}

static void
send_answer (struct en_router *r, const struct tk_http_request *q,
             struct zp_str service, const struct st_lookup_answer *a)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  struct zp_buf token = { .ptr = NULL }, body = { .ptr = NULL };
  size_t len;

  for (size_t i = 0; i < a->n; i++)
    json_object_array_add (list, entry_json (&r->members.item[a->entries[i]]));
  en_members_choose_home (&r->members, &r->rng, &token);
  add_text (o, "service", service);
  json_object_object_add (o, "entries", list);
  json_object_object_add (o, "ttl_ms",
                          json_object_new_int64 (ZP_LOOKUP_TTL / ZP_MS));
  json_object_object_add (o, "number",
                          json_object_new_int64 ((int64_t) r->plan->number));
  add_text (o, "once_home", zp_str_of (&token));
  const char *text = json_object_to_json_string_length (
      o, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE, &len);
  zp_buf_put_bytes (&body, text, len);
  json_object_put (o);
  zp_buf_free (&token);
  en_answer_json (r->front, q->id, body);
}

void
en_lookup (struct en_router *r, const struct tk_http_request *q)
{
  struct zp_str service = en_query (zp_str_of (&q->query), "service");
  struct st_lookup_query query = { .service = zp_str_hash (service, 0) };
  struct st_lookup_answer a;

  if (!r->plan || !r->lookup)
    {
      en_refuse (r->front, q->id, 503, ZP_NOT_RUN, "no-configuration", 1);
      return;
    }
  if (!en_plan_service (r->plan, service))
    {
      en_refuse (r->front, q->id, 404, ZP_NOT_RUN, "unknown-service", 0);
      return;
    }
  if (!caller_address (q, &query.address))
    {
      en_refuse (r->front, q->id, 400, ZP_NOT_RUN, "bad-caller-address", 0);
      return;
    }
  if (r->plan->shifts.len > 0)
    {
      query.shifted = en_plan_shifted_site;
      query.shifts = &r->plan->shifts;
    }
  st_lookup_find (r->lookup, r->plan->blocks, &query, &a);
  zp_count (zp_counter ("zp_lookups_total", ""), 1);
  log_decision (r, service, query.address, &a);
  send_answer (r, q, service, &a);
}
