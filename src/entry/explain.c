#include <json-c/json.h>
#include <stdlib.h>

#include "entry/answer.h"
#include "entry/request.h"
#include "steer/place.h"

/* Shows the decision that a request of a service would get now.  Calls the
   same functions as the dispatch of a request, with a copy of the random
   number generator, so that later decisions do not change.  */

static const char *
health_name (enum st_health_kind k)
{
  switch (k)
    {
    case ST_HEALTH_UP:
      return "up";
    case ST_HEALTH_EJECTED:
      return "ejected";
    case ST_HEALTH_PROBE_DUE:
      return "waits for a probe";
    case ST_HEALTH_PROBING:
      return "is probed";
    }
  return "";
}

static struct json_object *
candidate_json (const struct en_router *r, const struct st_candidate *c,
                size_t index)
{
  struct json_object *o = json_object_new_object ();
  static const char *const tiers[ST_TIERS]
      = { "same failure domain", "same region", "other region" };

  json_object_object_add (
      o, "server", json_object_new_string (r->holder.server[index].server));
  json_object_object_add (o, "tier", json_object_new_string (tiers[c->tier]));
  json_object_object_add (o, "slots", json_object_new_int64 (c->slots));
  json_object_object_add (o, "in_flight", json_object_new_int64 (c->own));
  json_object_object_add (o, "score",
                          json_object_new_double (st_place_score (c)));
  json_object_object_add (o, "health",
                          json_object_new_string (health_name (c->health)));
  json_object_object_add (o, "ramp", json_object_new_double (c->ramp));
  json_object_object_add (o, "leaving", json_object_new_boolean (c->leaving));
  return o;
}

void
en_explain (struct en_router *r, const struct tk_http_request *q)
{
  struct zp_str name = en_query (zp_str_of (&q->query), "service");
  struct en_service *s = r->plan ? en_service_find (r, name) : NULL;
  struct zp_buf why = { .ptr = NULL }, body = { .ptr = NULL };
  struct zp_rng rng = r->rng;
  zp_time now = zp_clock_mono ();
  size_t len;

  if (!s || !s->settings)
    {
      en_refuse (r->front, q->id, 404, ZP_NOT_RUN, "unknown-service", 0);
      return;
    }
  struct en_request probe = { .service = s };
  struct st_candidate *c = zp_alloc (r->holder.servers * sizeof *c);
  size_t *indexes = zp_alloc (r->holder.servers * sizeof *indexes);
  size_t n = en_dispatch_candidates (r, &probe, c, indexes, now);
  struct st_place_request x = { .alone = false };
  struct st_placement p = st_place (c, n, &x, &rng);
  struct json_object *o = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  for (size_t i = 0; i < n; i++)
    json_object_array_add (list, candidate_json (r, &c[i], indexes[i]));
  if (n > 0)
    st_placement_text (&p, &why);
  else
    /* The holder requests slots only when a request of a caller needs one.  */
    zp_buf_put (&why, ZP_STR ("no slot is held now; the next request asks the "
                              "nearest owner for one"));
  json_object_object_add (o, "service", json_object_new_string (s->name));
  json_object_object_add (
      o, "queued", json_object_new_int64 ((int64_t) st_queue_len (s->queue)));
  json_object_object_add (o, "decision",
                          json_object_new_string (why.ptr ? why.ptr : ""));
  json_object_object_add (o, "candidates", list);
  const char *text = json_object_to_json_string_length (
      o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE, &len);
  zp_buf_put_bytes (&body, text, len);
  zp_buf_put (&body, ZP_STR ("\n"));
  json_object_put (o);
  zp_buf_free (&why);
  free (indexes);
  free (c);
  en_answer_json (r->front, q->id, body);
}
