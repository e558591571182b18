#include <json-c/json.h>
#include <stdio.h>

#include "ctl/command.h"
#include "ctl/table.h"
#include "ticket/json.h"

#define COLUMNS(c) (c), sizeof (c) / sizeof (c)[0]

/* Why a request to the entry daemon has no result.  */
struct failure
{
  enum zc_exit status;
  struct zp_err err;
  const char *next; /* what the operator can do */
};

/* Returns what the operator can do about a refusal with REASON.  */
static const char *
next_step (struct zp_str reason)
{
  if (zp_str_eq (reason, ZP_STR ("unknown-service")))
    return "zpctl config lists the services as service/NAME; zpctl entries "
           "shows the number of the entry daemon's configuration";
  if (zp_str_eq (reason, ZP_STR ("no-configuration")))
    return "the entry daemon has no configuration yet; check the control "
           "daemons (zpctl status) and \"follow\" in its settings";
  return "check that --entry is the \"http\" address of an entry daemon of "
         "this version, and read its log";
}

/* Fills F from the HTTP status and the "reason" of a refusal.  Returns
   false.  */
static bool
set_refused (struct failure *f, long status, struct json_object *answer)
{
  struct json_object *reason = ti_json_get (answer, "reason");
  const char *text = json_object_is_type (reason, json_type_string)
                         ? json_object_get_string (reason)
                         : "the answer does not come from an entry daemon";

  f->status = ZC_REFUSED;
  f->next = next_step (zp_str_from (text));
  return zp_fail (&f->err, ZP_EINVAL, "status %ld: %s", status, text);
}

/* Sends GET PATH to the entry daemon at ENTRY.  Returns the JSON object that
   it answers, or NULL with F filled.  */
static struct json_object *
fetch (const struct zc_client *c, struct zp_str entry,
       const struct zp_buf *path, struct failure *f)
{
  const struct zc_request r = { .method = "GET", .target = zp_str_of (path) };
  struct zc_answer a = { .status = 0 };
  struct json_object *root = NULL;

  if (!zc_send_to (entry, &r, c->limit, &a, &f->err))
    {
      f->status = ZC_UNREACHABLE;
      f->next = "check --entry and that zp-entry runs there; another entry "
                "daemon lists all members: zpctl entries --entry IP:PORT";
      zp_buf_free (&a.body);
      return NULL;
    }
  root = zp_json_parse (zp_str_of (&a.body), NULL);
  if (a.status != 200 || !json_object_is_type (root, json_type_object))
    {
      set_refused (f, a.status, root);
      json_object_put (root);
      root = NULL;
    }
  zp_buf_free (&a.body);
  return root;
}

/* Results as text.  */

static void
put_explain (struct zp_buf *out, const struct zc_command *cmd,
             struct json_object *lookup, struct json_object *explain)
{
  static const struct zc_column entries[]
      = { { "ENTRY", "id" },
          { "ADDRESS", "address" },
          { "FAILURE DOMAIN", "failure_domain" },
          { "REGION", "region" } };
  static const struct zc_column servers[]
      = { { "SERVER", "server" }, { "TIER", "tier" },
          { "SLOTS", "slots" },   { "IN FLIGHT", "in_flight" },
          { "SCORE", "score" },   { "HEALTH", "health" },
          { "RAMP", "ramp" },     { "LEAVING", "leaving" } };
  struct zp_str caller = cmd->u.explain.caller;

  zp_buf_printf (out, "service %.*s at %.*s, configuration ",
                 ZP_ARG (cmd->u.explain.service), ZP_ARG (cmd->entry));
  zc_value_put (out, lookup, "number");
  zp_buf_printf (out, "\nlook-up: caller %.*s uses these entries, best first:",
                 ZP_ARG (caller.len > 0 ? caller : ZP_STR ("at this host")));
  zp_buf_put (out, ZP_STR ("\n"));
  zc_table_put (out, ti_json_get (lookup, "entries"), COLUMNS (entries));
  zp_buf_put (out, ZP_STR ("a request to this entry daemon: "));
  zc_value_put (out, explain, "decision");
  zp_buf_put (out, ZP_STR (" (queued: "));
  zc_value_put (out, explain, "queued");
  zp_buf_put (out, ZP_STR (")\ncandidates (servers with slots that this "
                           "entry daemon holds; it asks for slots when a "
                           "request needs them):\n"));
  zc_table_put (out, ti_json_get (explain, "candidates"), COLUMNS (servers));
}

static void
put_entries (struct zp_buf *out, struct zp_str entry, struct json_object *s)
{
  static const struct zc_column members[]
      = { { "ENTRY", "id" },
          { "ADDRESS", "address" },
          { "FAILURE DOMAIN", "failure_domain" },
          { "REGION", "region" },
          { "STATE", "state" },
          { "NUMBER", "number" } };
  static const struct zc_column services[]
      = { { "SERVICE", "service" },   { "QUEUED", "queued" },
          { "PARKED", "parked" },     { "RUNNING", "running" },
          { "OWNED", "owned_slots" }, { "FREE", "owned_free_slots" },
          { "HELD", "held_slots" },   { "EJECTED", "ejected_servers" } };
  static const struct zc_column servers[]
      = { { "SERVER", "id" },       { "SERVICE", "service" },
          { "ADDRESS", "address" }, { "SLOTS", "slots" },
          { "LENT", "lent" },       { "LEAVING", "leaving" } };

  zp_buf_printf (out, "%.*s: entry ", ZP_ARG (entry));
  zc_value_put (out, s, "id");
  zp_buf_put (out, ZP_STR (", configuration "));
  zc_value_put (out, s, "number");
  zp_buf_put (out, ZP_STR (", current: "));
  zc_value_put (out, s, "current");
  zp_buf_put (out, ZP_STR (", leaving: "));
  zc_value_put (out, s, "leaving");
  zp_buf_put (out, ZP_STR ("\nmembers:\n"));
  zc_table_put (out, ti_json_get (s, "members"), COLUMNS (members));
  zp_buf_put (out,
              ZP_STR ("services (slots of owned servers, slots held):\n"));
  zc_table_put (out, ti_json_get (s, "services"), COLUMNS (services));
  zp_buf_put (out, ZP_STR ("servers that announce to this entry:\n"));
  zc_table_put (out, ti_json_get (s, "servers"), COLUMNS (servers));
}

/* Commands.  */

static void
put_json (struct zp_buf *out, struct json_object *v)
{
  zp_buf_put (out,
              zp_str_from (json_object_to_json_string_ext (v, ZC_JSON_PLAIN)));
  zp_buf_put (out, ZP_STR ("\n"));
}

static bool
run_explain (const struct zc_client *c, const struct zc_command *cmd,
             struct zp_buf *out, struct failure *f)
{
  const struct zc_explain *x = &cmd->u.explain;
  struct zp_buf path = { .ptr = NULL };
  struct json_object *placement = NULL;

  zp_buf_printf (&path, "/v1/lookup?service=%.*s", ZP_ARG (x->service));
  if (x->caller.len > 0)
    zp_buf_printf (&path, "&caller=%.*s", ZP_ARG (x->caller));
  struct json_object *lookup = fetch (c, cmd->entry, &path, f);
  zp_buf_clear (&path);
  zp_buf_printf (&path, "/v1/explain?service=%.*s", ZP_ARG (x->service));
  if (lookup)
    placement = fetch (c, cmd->entry, &path, f);
  zp_buf_free (&path);
  if (placement && cmd->json)
    {
      struct json_object *result = json_object_new_object ();
      json_object_object_add (result, "lookup", json_object_get (lookup));
      json_object_object_add (result, "explain", json_object_get (placement));
      put_json (out, result);
      json_object_put (result);
    }
  else if (placement)
    put_explain (out, cmd, lookup, placement);
  bool ok = placement != NULL;
  json_object_put (lookup);
  json_object_put (placement);
  return ok;
}

static bool
run_entries (const struct zc_client *c, const struct zc_command *cmd,
             struct zp_buf *out, struct failure *f)
{
  struct zp_buf path = zp_buf_from (ZP_STR ("/v1/status"));
  struct json_object *s = fetch (c, cmd->entry, &path, f);

  zp_buf_free (&path);
  if (s && cmd->json)
    put_json (out, s);
  else if (s)
    put_entries (out, cmd->entry, s);
  json_object_put (s);
  return s != NULL;
}

static void
put_failure (const struct failure *f, const struct zc_command *cmd,
             struct zp_buf *out, struct zp_buf *errors)
{
  if (!cmd->json)
    {
      zp_buf_printf (errors, "zpctl: %s\nnext: %s\n", f->err.text, f->next);
      return;
    }
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();
  json_object_array_add (list, json_object_new_string (f->err.text));
  json_object_object_add (root, "state",
                          json_object_new_string (f->status == ZC_UNREACHABLE
                                                      ? "unreachable"
                                                      : "refused"));
  json_object_object_add (root, "errors", list);
  json_object_object_add (root, "next", json_object_new_string (f->next));
  put_json (out, root);
  json_object_put (root);
}

enum zc_exit
zc_entry_text (const struct zc_client *c, const struct zc_command *cmd,
               struct zp_buf *out, struct zp_buf *errors)
{
  struct failure f = { .status = ZC_DONE };
  bool ok = cmd->kind == ZC_EXPLAIN ? run_explain (c, cmd, out, &f)
                                    : run_entries (c, cmd, out, &f);

  if (!ok)
    put_failure (&f, cmd, out, errors);
  return f.status;
}

enum zc_exit
zc_run_entry (const struct zc_client *c, const struct zc_command *cmd)
{
  struct zp_buf out = { .ptr = NULL }, errors = { .ptr = NULL };
  enum zc_exit status = zc_entry_text (c, cmd, &out, &errors);

  fwrite (out.ptr ? out.ptr : "", 1, out.len, stdout);
  fwrite (errors.ptr ? errors.ptr : "", 1, errors.len, stderr);
  zp_buf_free (&out);
  zp_buf_free (&errors);
  return status;
}
