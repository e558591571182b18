#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>

#include "ctl/command.h"

static int64_t
number_of (struct json_object *root, const char *key)
{
  struct json_object *v = NULL;

  json_object_object_get_ex (root, key, &v);
  return json_object_get_int64 (v);
}

static const char *
text_of (struct json_object *root, const char *key)
{
  struct json_object *v = NULL;

  json_object_object_get_ex (root, key, &v);
  return v ? json_object_get_string (v) : "-";
}

static void
print_member (struct zp_str server, struct json_object *s)
{
  struct json_object *followers = NULL;

  json_object_object_get_ex (s, "followers", &followers);
  printf (
      "%.*s: member %" PRId64 ", %s, term %" PRId64 ", leader %" PRId64
      ", number %" PRId64 ", %" PRId64 " of %" PRId64 " followers current\n",
      ZP_ARG (server), number_of (s, "id"), text_of (s, "role"),
      number_of (s, "term"), number_of (s, "leader"), number_of (s, "number"),
      number_of (followers, "current"), number_of (followers, "reporting"));
  struct json_object *stopped = NULL;
  if (json_object_object_get_ex (s, "stopped", &stopped) && stopped)
    printf ("  stopped: %s\n", json_object_get_string (stopped));
}

/* Prints the pending tickets of S, the status of the member that has applied
   the most of the log.  */
static void
print_waiting (struct json_object *s)
{
  struct json_object *list = NULL;

  json_object_object_get_ex (s, "waiting", &list);
  size_t n = json_object_is_type (list, json_type_array)
                 ? json_object_array_length (list)
                 : 0;
  printf ("%zu tickets wait\n", n);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *t = json_object_array_get_idx (list, i);
      printf ("  %s %s, against %" PRId64 ", by %s, reviewed by %s: %s\n",
              text_of (t, "digest"), text_of (t, "state"),
              number_of (t, "against"), text_of (t, "author"),
              text_of (t, "reviewer"), text_of (t, "title"));
    }
}

static double
share_of (struct json_object *root, const char *key)
{
  struct json_object *v = NULL;

  json_object_object_get_ex (root, key, &v);
  return json_object_get_double (v);
}

/* Prints the shifts in S, the status of one member.  Only the status of the
   leader has the reasons.  */
static void
print_shifts (struct json_object *s)
{
  struct json_object *list = NULL;

  json_object_object_get_ex (s, "shifts", &list);
  if (!json_object_is_type (list, json_type_array))
    return;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *t = json_object_array_get_idx (list, i);
      printf ("shift %s from %s to %s: moved %.6f, target %.6f: %s\n",
              text_of (t, "name"), text_of (t, "from"), text_of (t, "to"),
              share_of (t, "moved"), share_of (t, "target"),
              text_of (t, "reason"));
    }
}

/* Whether S is the status of a member that says that it leads.  */
static bool
is_leader (struct json_object *s)
{
  return number_of (s, "id") == number_of (s, "leader");
}

/* Returns the status of one control daemon, or NULL with ERR filled.  */
static struct json_object *
fetch_status (struct zp_str server, zp_time limit, struct zp_err *err)
{
  const struct zc_request r
      = { .method = "GET", .target = ZP_STR ("/v1/status") };
  struct zc_answer a = { .status = 0 };
  struct json_object *root = NULL;

  if (zc_send_to (server, &r, limit, &a, err))
    {
      root = json_tokener_parse (a.body.ptr ? a.body.ptr : "");
      if (!root)
        zp_fail (err, ZP_EUNAVAIL, "%.*s: the answer is not JSON",
                 ZP_ARG (server));
    }
  zp_buf_free (&a.body);
  return root;
}

/* Returns the element of the JSON output for SERVER.  STATUS is NULL when
   there is only ERR.  */
static struct json_object *
server_json (struct zp_str server, struct json_object *status,
             const struct zp_err *err)
{
  struct json_object *e = json_object_new_object ();

  json_object_object_add (
      e, "server", json_object_new_string_len (server.ptr, (int) server.len));
  json_object_object_add (e, "status", json_object_get (status));
  json_object_object_add (e, "error",
                          status ? NULL : json_object_new_string (err->text));
  return e;
}

/* Asks every server once and prints the results.  */
static enum zc_exit
show_status (const struct zc_client *c, bool json)
{
  struct json_object *all = json_object_new_array (), *newest = NULL,
                     *leader = NULL;

  for (size_t i = 0; i < c->servers.len; i++)
    {
      struct zp_err err = { .text = "" };
      struct json_object *s
          = fetch_status (c->servers.item[i], c->limit, &err);
      json_object_array_add (all, server_json (c->servers.item[i], s, &err));
      if (!json && s)
        print_member (c->servers.item[i], s);
      else if (!json)
        printf ("%s\n", err.text);
      if (s
          && (!newest
              || number_of (s, "applied") > number_of (newest, "applied")))
        newest = s;
      if (s && is_leader (s))
        leader = s;
      json_object_put (s); /* ALL holds a reference */
    }
  enum zc_exit status = newest ? ZC_DONE : ZC_UNREACHABLE;
  if (json)
    zc_print_json (all);
  else if (newest)
    {
      print_waiting (newest);
      print_shifts (leader ? leader : newest);
    }
  else
    fputs ("next: check --server and that zp-control runs on the control "
           "VMs\n",
           stderr);
  json_object_put (all);
  return status;
}

enum zc_exit
zc_run_status (const struct zc_client *c, const struct zc_command *cmd)
{
  const struct zc_status *x = &cmd->u.status;
  enum zc_exit status = show_status (c, cmd->json);

  for (uint64_t i = 1; x->watch && (x->count == 0 || i < x->count); i++)
    {
      if (!cmd->json)
        putchar ('\n');
      fflush (stdout); /* a pipe gets each round without delay */
      zc_pause (x->period);
      status = show_status (c, cmd->json);
    }
  return status;
}
