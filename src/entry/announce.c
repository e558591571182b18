#include <json-c/json.h>
#include <string.h>

#include "base/log.h"
#include "base/settings.h"
#include "entry/answer.h"
#include "entry/router.h"
#include "wire/address.h"

#define PART "announce"

/* A parsed announcement.  Its texts are valid as long as ROOT.  */
struct announcement
{
  struct json_object *root;
  struct st_announce a;
  struct zp_str failure_domain; /* optional: of the server */
};

static bool
get_text (struct json_object *root, const char *key, struct zp_str *out)
{
  struct json_object *v;

  if (!json_object_object_get_ex (root, key, &v)
      || !json_object_is_type (v, json_type_string))
    return false;
  *out = (struct zp_str){ .ptr = json_object_get_string (v),
                          .len = (size_t) json_object_get_string_len (v) };
  return true;
}

static bool
get_number (struct json_object *root, const char *key, int64_t max,
            int64_t *out)
{
  struct json_object *v;

  if (!json_object_object_get_ex (root, key, &v)
      || !json_object_is_type (v, json_type_int))
    return false;
  *out = json_object_get_int64 (v);
  return *out >= 0 && *out <= max;
}

/* Reads all fields.  On failure ERR names the first required key that is
   missing or wrong; optional keys of a wrong type are ignored.  */
static bool
read_fields (struct announcement *x, struct zp_err *err)
{
  struct json_object *v;
  int64_t slots, connections = ZP_SERVER_CONNECTIONS_DEFAULT, inflight = 0,
                 uptime;
  struct sockaddr_storage sa;
  socklen_t len;

  if (!get_text (x->root, "service", &x->a.service))
    return zp_fail (err, ZP_EINVAL, "\"service\" has to be a string");
  if (!get_text (x->root, "id", &x->a.id))
    return zp_fail (err, ZP_EINVAL, "\"id\" has to be a string");
  if (!get_text (x->root, "address", &x->a.address)
      || !wi_address_parse (x->a.address, &sa, &len, NULL))
    return zp_fail (err, ZP_EINVAL, "\"address\" has to be IP:port");
  if (!get_number (x->root, "slots", 100000, &slots))
    return zp_fail (err, ZP_EINVAL, "\"slots\" has to be 0 to 100000");
  if (!get_number (x->root, "uptime_ms", INT64_MAX / 4000, &uptime))
    return zp_fail (err, ZP_EINVAL, "\"uptime_ms\" has to be a number");
  get_number (x->root, "connections", 1000000, &connections);
  get_number (x->root, "inflight", 1000000, &inflight);
  get_text (x->root, "failure_domain", &x->failure_domain);
  if (json_object_object_get_ex (x->root, "load", &v))
    x->a.load = json_object_get_double (v);
  if (json_object_object_get_ex (x->root, "leaving", &v))
    x->a.leaving = json_object_get_boolean (v);
  x->a.slots = (unsigned) slots;
  x->a.connections = (unsigned) connections;
  x->a.inflight = (unsigned) inflight;
  x->a.uptime = uptime * ZP_MS;
  return true;
}

/* The entry VM that the server should announce to from now on.  NULL when none
   is known; the server then stays with this daemon.  */
static const struct st_member *
preferred (struct en_router *r, const struct announcement *x)
{
  struct zp_str domain = x->failure_domain.len > 0
                             ? x->failure_domain
                             : r->settings->failure_domain;
  const struct st_member *m = st_view_preferred (&r->view, domain, x->a.id);

  if (!m && domain.ptr != r->settings->failure_domain.ptr)
    m = st_view_preferred (&r->view, r->settings->failure_domain, x->a.id);
  return m;
}

static void
apply (struct en_router *r, const struct announcement *x)
{
  struct st_grants g = { .len = 0 };
  struct zp_err err;
  zp_time now = zp_clock_mono ();
  bool announced_before = st_owner_find (&r->lessor.owner, x->a.id) != NULL;
  struct st_server *s
      = st_lessor_announce (&r->lessor, &r->view, &x->a, now, &g, &err);

  if (!s)
    {
      ZP_EVENT (ZP_LOG_WARNING, PART, "refused the announcement of a server",
                ZP_F_TEXT (ZP_KEY_SERVER, x->a.id),
                ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (err.text)));
      zp_count (zp_counter ("zp_announce_refused_total", ""), 1);
      st_grants_free (&g);
      return;
    }
  en_drains_apply (r);
  if (!announced_before)
    ZP_EVENT (ZP_LOG_NOTICE, PART,
              "a server has started to announce to this daemon",
              ZP_F_TEXT (ZP_KEY_SERVER, x->a.id),
              ZP_F_TEXT (ZP_KEY_SERVICE, x->a.service),
              ZP_F_INT (ZP_KEY_SLOTS, x->a.slots));
  en_capacity_deliver (r, &g);
}

void
en_announce (struct en_router *r, const struct tk_http_request *q)
{
  struct announcement x = { .root = NULL };
  struct zp_err err = { .code = ZP_OK };
  struct zp_buf body = { .ptr = NULL };

  x.root = zp_json_parse (zp_str_of (&q->body), &err);
  if (!x.root || !json_object_is_type (x.root, json_type_object)
      || !read_fields (&x, &err))
    {
      zp_log (ZP_LOG_WARNING, PART, "refused an announcement: %s", err.text);
      zp_count (zp_counter ("zp_announce_refused_total", ""), 1);
      en_refuse (r->front, q->id, 400, ZP_NOT_RUN, "bad-announcement", 0);
      json_object_put (x.root);
      return;
    }
  const struct st_member *to = preferred (r, &x);
  struct zp_str address = to ? zp_str_from (to->address) : r->settings->http;
  /* An entry VM that shuts down sends servers elsewhere and accepts no new
     ones.  */
  if (!r->stop.begun || st_owner_find (&r->lessor.owner, x.a.id))
    apply (r, &x);
  if (to)
    en_capacity_hand_over_server (r, x.a.id, to->id);
  zp_buf_printf (&body, "{\"preferred\":\"%.*s\",\"ttl_ms\":%lld}\n",
                 ZP_ARG (address), (long long) (ZP_ANNOUNCE_TTL / ZP_MS));
  json_object_put (x.root);
  en_answer_json (r->front, q->id, body);
}
