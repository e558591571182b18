#include "control/operators.h"

#include <inttypes.h>
#include <string.h>

#include "base/counter.h"
#include "base/settings.h"
#include "ticket/json.h"

/* Retry-After, in seconds, when there is no leader.  A new leader is elected
   within 1.5 s of the failure of the old one (ledger/core.h).  */
#define RETRY_AFTER_S 1

/* The inputs of a decision, and where its result goes.  */
struct context
{
  const struct ti_store *store;
  const struct tk_http_request *request;
  zp_time now;
  struct ct_decision *out;
};

static struct tk_http_answer *
set_answer (struct context *q)
{
  q->out->kind = CT_ANSWER;
  return &q->out->u.answer;
}

static void
propose (struct context *q, const struct ti_command *c)
{
  q->out->kind = CT_PROPOSE;
  q->out->u.command = (struct zp_buf){ .ptr = NULL };
  ti_command_encode (c, &q->out->u.command);
}

/* Query strings.  None of the values needs percent-encoding except the "/" of
   a key, which can be written as "/" or "%2F".  */

/* Returns false when the query has no value for NAME.  */
static bool
query_value (const struct tk_http_request *r, const char *name,
             struct zp_str *out)
{
  struct zp_str rest = zp_str_of (&r->query), pair, key;

  while (rest.len > 0)
    {
      zp_str_split (rest, '&', &pair, &rest);
      if (zp_str_split (pair, '=', &key, out)
          && zp_str_eq (key, zp_str_from (name)))
        return true;
    }
  return false;
}

/* Reads the key in "after".  Sets HAS to whether it is given.  Returns false
   with ERR filled when it is given but not a valid key.  */
static bool
query_after (const struct tk_http_request *r, struct ti_key *out, bool *has,
             struct zp_err *err)
{
  char text[2 * ZP_NAME_MAX];
  struct zp_str value;

  *has = query_value (r, "after", &value);
  if (!*has)
    return true;
  if (!zp_str_copy (text, sizeof text, value))
    return zp_fail (err, ZP_EINVAL, "\"after\" is too long");
  char *escape = strstr (text, "%2F");
  if (escape)
    {
      *escape = '/';
      memmove (escape + 1, escape + 3, strlen (escape + 3) + 1);
    }
  return ti_key_parse (zp_str_from (text), out, err);
}

/* Reads what a page of objects has to show; KEY is room for its "after".
   Returns false after it has answered with an error.  */
static bool
read_page (struct context *q, struct ti_key *key, struct ct_page *out)
{
  struct zp_str keys;
  struct zp_err err;
  bool has;

  *out = (struct ct_page){ .after = NULL };
  if (!query_after (q->request, key, &has, &err))
    {
      ct_answer_error (set_answer (q), 422, "\"after\": %s", err.text);
      return false;
    }
  if (has)
    out->after = key;
  if (query_value (q->request, "keys", &keys))
    {
      out->keys = zp_str_eq (keys, ZP_STR ("show"));
      if (!out->keys)
        {
          ct_answer_error (set_answer (q), 422, "\"keys\": allowed: show");
          return false;
        }
    }
  return true;
}

/* Tickets.  */

static void
decide_submit (struct context *q)
{
  struct zp_report report = { .count = 0 };
  struct ti_command c = { .kind = TI_SUBMIT, .now = q->now };

  c.u.submit.ticket = ti_ticket_parse (zp_str_of (&q->request->body), &report);
  if (c.u.submit.ticket)
    propose (q, &c);
  else
    ct_answer_errors (set_answer (q), 422, &report);
  ti_command_clear (&c);
  zp_report_free (&report);
}

/* Returns false and answers with an error when ROOT has another field than
   ALLOWED.  */
static bool
check_fields (struct context *q, struct json_object *root, const char *allowed)
{
  json_object_object_foreach (root, key, value)
  {
    (void) value;
    if (strcmp (key, allowed) == 0)
      continue;
    ct_answer_error (set_answer (q), 422,
                     "body: \"%.64s\": unknown field, allowed: %s", key,
                     allowed);
    return false;
  }
  return true;
}

/* Parses the body as an object with no other field than ALLOWED; an empty body
   is an empty object.  Returns NULL after it has answered with an error.  The
   caller releases the object.  */
static struct json_object *
read_body (struct context *q, const char *allowed)
{
  struct zp_str text = zp_str_of (&q->request->body);
  struct zp_err err;
  struct json_object *root
      = zp_json_parse (text.len > 0 ? text : ZP_STR ("{}"), &err);

  if (!root)
    ct_answer_error (set_answer (q), 422, "body: %s", err.text);
  else if (!json_object_is_type (root, json_type_object))
    ct_answer_error (set_answer (q), 422, "body: allowed: a JSON object");
  else if (check_fields (q, root, allowed))
    return root;
  json_object_put (root);
  return NULL;
}

static void
decide_review (struct context *q, const struct ti_digest *digest)
{
  struct ti_command c = { .kind = TI_REVIEW, .now = q->now };
  struct json_object *root = read_body (q, "reviewer"), *v = NULL;

  if (!root)
    return;
  json_object_object_get_ex (root, "reviewer", &v);
  c.u.review.digest = *digest;
  if (ti_name_parse (ti_json_str (v), &c.u.review.reviewer))
    propose (q, &c);
  else
    ct_answer_error (set_answer (q), 422,
                     "\"reviewer\": found %.*s, allowed: the name of an "
                     "operator",
                     ZP_ARG (ti_json_excerpt (v)));
  json_object_put (root);
}

static void
decide_number (struct context *q, const struct ti_digest *digest)
{
  struct ti_command c = { .kind = TI_NUMBER, .now = q->now };
  struct json_object *root = read_body (q, "number"), *v = NULL;

  if (!root)
    return;
  c.u.number.digest = *digest;
  if (!json_object_object_get_ex (root, "number", &v)
      || (ti_json_u64 (v, &c.u.number.number) && c.u.number.number > 0))
    propose (q, &c);
  else
    ct_answer_error (set_answer (q), 422,
                     "\"number\": found %.*s, allowed: a whole number above "
                     "0, or no \"number\" for the next one",
                     ZP_ARG (ti_json_excerpt (v)));
  json_object_put (root);
}

static void
decide_find (struct context *q, const struct ti_digest *digest)
{
  struct ti_result r;

  ti_store_find (q->store, digest, &r);
  ct_answer_result (set_answer (q), &r);
  ti_result_free (&r);
}

/* Configurations.  */

static void
decide_config (struct context *q)
{
  struct ti_key after;
  struct ct_page page;

  if (read_page (q, &after, &page))
    ct_answer_config (set_answer (q), ti_store_config (q->store), &page);
}

/* The configuration whose number is the query value NAME.  Returns NULL after
   it has answered with an error; the caller frees the configuration.  */
static struct ti_config *
config_at (struct context *q, const char *name)
{
  struct ti_config *c = NULL;
  struct zp_str value;
  uint64_t n;

  if (!query_value (q->request, name, &value) || !zp_str_u64 (value, &n))
    ct_answer_error (set_answer (q), 422, "\"%s\": allowed: a number", name);
  else if (!(c = ti_store_config_at (q->store, n)))
    ct_answer_error (set_answer (q), 404,
                     "\"%s\": found %" PRIu64 ", allowed: at most %" PRIu64
                     ", the number in force, and at most %d changes older",
                     name, n, ti_store_config (q->store)->number, TI_UNDO_MAX);
  return c;
}

static void
decide_diff (struct context *q)
{
  struct ti_key after;
  struct ct_page page;

  if (!read_page (q, &after, &page))
    return;
  struct ti_config *from = config_at (q, "from");
  struct ti_config *to = from ? config_at (q, "to") : NULL;
  if (from && to)
    ct_answer_diff (set_answer (q), from, to, &page);
  ti_config_free (from);
  ti_config_free (to);
}

/* Routes.  */

enum route
{
  ROUTE_NONE,
  ROUTE_SUBMIT,
  ROUTE_TICKET,
  ROUTE_REVIEW,
  ROUTE_NUMBER,
  ROUTE_CONFIG,
  ROUTE_DIFF,
  ROUTE_STATUS,
  ROUTE_METRICS,
};

/* The route of the path "/v1/tickets/TAIL"; fills DIGEST.  */
static enum route
ticket_route (struct zp_str tail, struct ti_digest *digest)
{
  struct zp_str head, action;
  bool more = zp_str_split (tail, '/', &head, &action);

  if (!ti_digest_parse (head, digest))
    return ROUTE_NONE;
  if (!more)
    return ROUTE_TICKET;
  if (zp_str_eq (action, ZP_STR ("review")))
    return ROUTE_REVIEW;
  if (zp_str_eq (action, ZP_STR ("number")))
    return ROUTE_NUMBER;
  return ROUTE_NONE;
}

static enum route
find_route (struct zp_str path, struct ti_digest *digest)
{
  static const struct
  {
    const char *path;
    enum route route;
  } fixed[] = {
    { "/v1/tickets", ROUTE_SUBMIT }, { "/v1/config", ROUTE_CONFIG },
    { "/v1/diff", ROUTE_DIFF },      { "/v1/status", ROUTE_STATUS },
    { "/metrics", ROUTE_METRICS },
  };
  const struct zp_str prefix = ZP_STR ("/v1/tickets/");

  for (size_t i = 0; i < sizeof fixed / sizeof fixed[0]; i++)
    if (zp_str_eq (path, zp_str_from (fixed[i].path)))
      return fixed[i].route;
  if (!zp_str_starts (path, prefix))
    return ROUTE_NONE;
  return ticket_route ((struct zp_str){ .ptr = path.ptr + prefix.len,
                                        .len = path.len - prefix.len },
                       digest);
}

static const char *
method_of (enum route route)
{
  switch (route)
    {
    case ROUTE_SUBMIT:
    case ROUTE_REVIEW:
    case ROUTE_NUMBER:
      return "POST";
    case ROUTE_NONE:
    case ROUTE_TICKET:
    case ROUTE_CONFIG:
    case ROUTE_DIFF:
    case ROUTE_STATUS:
    case ROUTE_METRICS:
      return "GET";
    }
  return "GET";
}

static void
answer_metrics (struct tk_http_answer *a)
{
  a->status = 200;
  zp_buf_put (&a->content_type, ZP_STR ("text/plain; version=0.0.4"));
  zp_counter_text (&a->body);
}

void
ct_answer_not_leader (struct tk_http_answer *a,
                      const struct ct_leadership *leadership,
                      struct zp_str path, struct zp_str query)
{
  switch (leadership->kind)
    {
    case CT_FOLLOWER:
      ct_answer_redirect (a, leadership->leader_http, path, query);
      return;
    case CT_LEADER:
    case CT_NO_LEADER:
      ct_answer_error (a, 503,
                       "no leader can take requests now; nothing was done; "
                       "send the same request again");
      a->retry_after_s = RETRY_AFTER_S;
      return;
    }
}

void
ct_answer_outcome_unknown (struct tk_http_answer *a)
{
  ct_answer_error (a, 503,
                   "the leader changed before the request was decided; send "
                   "the same request again: it takes effect only once");
  a->retry_after_s = RETRY_AFTER_S;
}

void
ct_operators_decide (const struct ti_store *s,
                     const struct ct_leadership *leadership,
                     const struct ct_status_report *report, zp_time now,
                     const struct tk_http_request *r, struct ct_decision *out)
{
  struct context q = { .store = s, .request = r, .now = now, .out = out };
  struct zp_str path = zp_str_of (&r->path);
  struct ti_digest digest;
  enum route route = find_route (path, &digest);

  *out = (struct ct_decision){ .kind = CT_ANSWER };
  if (route == ROUTE_NONE)
    {
      ct_answer_error (set_answer (&q), 404, "no such path");
      return;
    }
  if (!zp_str_eq (zp_str_of (&r->method), zp_str_from (method_of (route))))
    {
      ct_answer_error (set_answer (&q), 405, "allowed: %s", method_of (route));
      return;
    }
  if (route == ROUTE_STATUS)
    {
      ct_answer_status (set_answer (&q), s, report);
      return;
    }
  if (route == ROUTE_METRICS)
    {
      answer_metrics (set_answer (&q));
      return;
    }
  if (leadership->kind != CT_LEADER)
    {
      ct_answer_not_leader (set_answer (&q), leadership, path,
                            zp_str_of (&r->query));
      return;
    }
  switch (route)
    {
    case ROUTE_SUBMIT:
      decide_submit (&q);
      break;
    case ROUTE_TICKET:
      decide_find (&q, &digest);
      break;
    case ROUTE_REVIEW:
      decide_review (&q, &digest);
      break;
    case ROUTE_NUMBER:
      decide_number (&q, &digest);
      break;
    case ROUTE_CONFIG:
      decide_config (&q);
      break;
    case ROUTE_DIFF:
      decide_diff (&q);
      break;
    case ROUTE_NONE:
    case ROUTE_STATUS:
    case ROUTE_METRICS:
      break;
    }
}
