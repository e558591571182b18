#include <json-c/json.h>
#include <stdlib.h>

#include "entry/answer.h"
#include "entry/router.h"
#include "steer/place.h"

static void
add_text (struct json_object *o, const char *key, const char *text)
{
  json_object_object_add (o, key, json_object_new_string (text));
}

static void
add_int (struct json_object *o, const char *key, int64_t v)
{
  json_object_object_add (o, key, json_object_new_int64 (v));
}

static void
send_json (struct en_router *r, uint64_t http, struct json_object *o)
{
  struct zp_buf body = { .ptr = NULL };
  size_t len;
  const char *text = json_object_to_json_string_length (
      o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE, &len);

  zp_buf_put_bytes (&body, text, len);
  zp_buf_put (&body, ZP_STR ("\n"));
  json_object_put (o);
  en_answer_json (r->front, http, body);
}

static struct json_object *
member_json (const struct en_member *e)
{
  struct json_object *o = json_object_new_object ();

  add_int (o, "id", (int64_t) e->id);
  add_text (o, "failure_domain", e->failure_domain);
  add_text (o, "region", e->region);
  add_text (o, "address", e->http);
  add_text (o, "state", !e->live ? "down" : e->leaving ? "leaving" : "up");
  add_int (o, "number", (int64_t) e->number);
  return o;
}

static struct json_object *
service_json (struct en_router *r, const struct en_service *s, zp_time now)
{
  struct json_object *o = json_object_new_object ();
  unsigned slots, held = 0;
  struct zp_str name = zp_str_from (s->name);
  unsigned free_slots = st_lessor_free_slots (&r->lessor, name, now, &slots);

  for (size_t i = 0; i < r->holder.servers; i++)
    if (zp_str_eq (zp_str_from (r->holder.server[i].service), name))
      held += st_holder_slots (&r->holder,
                               zp_str_from (r->holder.server[i].server), now);
  add_text (o, "service", s->name);
  add_int (o, "queued", (int64_t) st_queue_len (s->queue));
  add_int (o, "parked", (int64_t) s->parked_len);
  add_int (o, "running", (int64_t) s->running);
  add_int (o, "owned_slots", slots);
  add_int (o, "owned_free_slots", free_slots);
  add_int (o, "held_slots", held);
  add_int (o, "ejected_servers", s->group.ejected);
  return o;
}

static struct json_object *
server_json (const struct st_server *s)
{
  struct json_object *o = json_object_new_object ();

  add_text (o, "id", s->id);
  add_text (o, "service", s->service);
  add_text (o, "address", s->address);
  add_int (o, "slots", s->slots);
  add_int (o, "lent", s->lent);
  json_object_object_add (o, "leaving",
                          json_object_new_boolean (s->leaving || s->draining));
  return o;
}

void
en_status (struct en_router *r, uint64_t http)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *members = json_object_new_array ();
  struct json_object *services = json_object_new_array ();
  struct json_object *servers = json_object_new_array ();
  zp_time now = zp_clock_mono ();

  r->members.item[0].number = r->config ? r->config->number : 0;
  for (size_t i = 0; i < r->members.len; i++)
    json_object_array_add (members, member_json (&r->members.item[i]));
  for (size_t i = 0; i < r->services; i++)
    json_object_array_add (services, service_json (r, r->service[i], now));
  for (size_t i = 0; i < r->lessor.owner.servers; i++)
    json_object_array_add (servers, server_json (r->lessor.owner.server[i]));
  add_int (o, "id", (int64_t) r->id);
  add_int (o, "number", r->config ? (int64_t) r->config->number : 0);
  add_int (o, "version", r->config ? (int64_t) r->config->index : 0);
  json_object_object_add (o, "current", json_object_new_boolean (r->fresh));
  json_object_object_add (o, "leaving",
                          json_object_new_boolean (r->stop.begun));
  add_int (o, "claims", (int64_t) oc_member_keys (r->claims));
  add_int (o, "claims_bytes", (int64_t) oc_member_bytes (r->claims));
  add_int (o, "suspects", (int64_t) st_poison_len (r->poison));
  json_object_object_add (o, "members", members);
  json_object_object_add (o, "services", services);
  json_object_object_add (o, "servers", servers);
  send_json (r, http, o);
}

void
en_metrics (struct en_router *r, uint64_t http)
{
  struct zp_buf body = { .ptr = NULL };

  zp_gauge (zp_counter ("zp_requests_in_progress", ""),
            (int64_t) r->requests.len);
  zp_counter_text (&body);
  en_answer_text (r->front, http, body);
}
