#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "ctl/command.h"
#include "ticket/ticket.h"

/* Results.  */

static const char *
text_of (struct json_object *root, const char *key)
{
  struct json_object *v = NULL;

  if (!json_object_object_get_ex (root, key, &v) || !v)
    return "";
  return json_object_get_string (v);
}

static void
print_conflict (struct json_object *root)
{
  struct json_object *conflict, *objects = NULL;
  const char *sep = "";

  json_object_object_get_ex (root, "conflict", &conflict);
  json_object_object_get_ex (conflict, "objects", &objects);
  fprintf (stderr, "zpctl: conflict: number %s was taken by ticket %s\n",
           text_of (conflict, "number"), text_of (conflict, "digest"));
  if (json_object_is_type (objects, json_type_array)
      && json_object_array_length (objects) > 0)
    {
      fputs ("zpctl: objects in conflict: ", stderr);
      for (size_t i = 0; i < json_object_array_length (objects);
           i++, sep = ", ")
        fprintf (
            stderr, "%s%s", sep,
            json_object_get_string (json_object_array_get_idx (objects, i)));
      fputs ("\nnext: see what has changed (zpctl diff AGAINST NUMBER), then "
             "submit a new ticket against the number in force (zpctl "
             "status)\n",
             stderr);
    }
  else if (strcmp (text_of (root, "state"), "reviewed") == 0)
    fputs ("next: no object is in conflict; claim the next number: zpctl "
           "number DIGEST\n",
           stderr);
  else
    fputs ("next: no object is in conflict; submit the ticket again without "
           "\"number\" or with the next number\n",
           stderr);
}

static void
print_done (struct json_object *root)
{
  const char *state = text_of (root, "state");
  const char *digest = text_of (root, "digest");

  if (strcmp (state, "numbered") == 0)
    printf ("ticket %s is in force as number %s\n", digest,
            text_of (root, "number"));
  else if (strcmp (state, "reviewed") == 0)
    printf ("ticket %s is reviewed\nnext: zpctl number %s\n", digest, digest);
  else
    printf ("ticket %s is %s\nnext: another operator than the author gives: "
            "zpctl review %s --operator NAME\n",
            digest, state, digest);
}

static void
print_refused (const struct zc_command *cmd, const struct zc_answer *a)
{
  zc_print_errors (a);
  switch (cmd->kind)
    {
    case ZC_SUBMIT:
      fputs ("next: correct the ticket and submit it again\n", stderr);
      break;
    case ZC_REVIEW:
      fputs ("next: zpctl status lists the tickets that wait, with their "
             "authors\n",
             stderr);
      break;
    case ZC_NUMBER:
      fputs ("next: zpctl status lists the tickets that wait; a ticket that "
             "was refused has to be corrected and submitted again\n",
             stderr);
      break;
    case ZC_STATUS:
    case ZC_CONFIG:
    case ZC_DIFF:
    case ZC_EXPLAIN:
    case ZC_ENTRIES:
    case ZC_TRACE:
    case ZC_TIMELINE:
      break;
    }
}

/* Whether ROOT names a ticket and its state, as each answer of a control daemon
   with status 200 does.  */
static bool
has_ticket (struct json_object *root)
{
  return text_of (root, "digest")[0] != '\0'
         && text_of (root, "state")[0] != '\0';
}

static enum zc_exit
print_answer (const struct zc_client *c, const struct zc_command *cmd,
              const struct zc_answer *a)
{
  struct json_object *root
      = json_tokener_parse (a->body.ptr ? a->body.ptr : "");
  bool done = a->status == 200;
  struct zp_err err;

  if (done && !has_ticket (root))
    {
      json_object_put (root);
      zp_fail (&err, ZP_EUNAVAIL,
               "status 200 without a ticket; the server may be another "
               "program");
      return zc_print_unreachable (c, cmd->json, &err);
    }

  if (cmd->json && root)
    zc_print_json (root);
  else if (done)
    print_done (root);
  else if (a->status == 409 && root)
    print_conflict (root);
  else
    print_refused (cmd, a);
  json_object_put (root);
  return done ? ZC_DONE : ZC_REFUSED;
}

static enum zc_exit
post (const struct zc_client *c, const struct zc_command *cmd,
      struct zp_str target, struct zp_str body)
{
  const struct zc_request r
      = { .method = "POST", .target = target, .body = body };
  struct zc_answer a = { .status = 0 };
  struct zp_err err = { .text = "" };
  enum zc_exit status = zc_send (c, &r, &a, &err)
                            ? print_answer (c, cmd, &a)
                            : zc_print_unreachable (c, cmd->json, &err);

  zp_buf_free (&a.body);
  return status;
}

/* Commands.  */

/* Prints the errors that were found in the file; nothing was sent.  */
static enum zc_exit
print_invalid_file (const struct zc_command *cmd,
                    const struct zp_report *report)
{
  struct zp_str line, rest = zp_str_of (&report->lines);
  struct json_object *root = json_object_new_object ();
  struct json_object *list = json_object_new_array ();

  while (rest.len > 0)
    {
      zp_str_split (rest, '\n', &line, &rest);
      if (!cmd->json)
        fprintf (stderr, "zpctl: %s: %.*s\n", cmd->u.submit.file,
                 ZP_ARG (line));
      json_object_array_add (
          list, json_object_new_string_len (line.ptr, (int) line.len));
    }
  json_object_object_add (root, "state", json_object_new_string ("refused"));
  json_object_object_add (root, "errors", list);
  if (cmd->json)
    zc_print_json (root);
  else
    fputs ("next: correct the ticket and submit it again; nothing was sent\n",
           stderr);
  json_object_put (root);
  return ZC_REFUSED;
}

static enum zc_exit
run_submit (const struct zc_client *c, const struct zc_command *cmd)
{
  struct zp_report report = { .count = 0 };
  struct zp_buf text = { .ptr = NULL };
  struct ti_ticket *t = NULL;
  struct zp_err err;
  enum zc_exit status;

  if (zp_file_read (cmd->u.submit.file, &text, ZP_SETTINGS_MAX, &err))
    t = ti_ticket_parse (zp_str_of (&text), &report);
  else
    zp_report_add (&report, "%s", err.text);
  if (t)
    {
      /* The canonical text is sent.  Without the comments and spaces of the
         file it is not too long for the server.  */
      zp_buf_clear (&text);
      ti_ticket_write (t, &text);
      status = post (c, cmd, ZP_STR ("/v1/tickets"), zp_str_of (&text));
    }
  else
    status = print_invalid_file (cmd, &report);
  ti_ticket_free (t);
  zp_buf_free (&text);
  zp_report_free (&report);
  return status;
}

static enum zc_exit
run_action (const struct zc_client *c, const struct zc_command *cmd,
            struct zp_str digest, const char *action, struct zp_str body)
{
  struct zp_buf target = { .ptr = NULL };

  zp_buf_printf (&target, "/v1/tickets/%.*s/%s", ZP_ARG (digest), action);
  enum zc_exit status = post (c, cmd, zp_str_of (&target), body);
  zp_buf_free (&target);
  return status;
}

enum zc_exit
zc_run_ticket (const struct zc_client *c, const struct zc_command *cmd)
{
  struct zp_buf body = { .ptr = NULL };
  enum zc_exit status = ZC_USAGE;

  switch (cmd->kind)
    {
    case ZC_SUBMIT:
      status = run_submit (c, cmd);
      break;
    case ZC_REVIEW:
      zp_buf_printf (&body, "{\"reviewer\":\"%.*s\"}",
                     ZP_ARG (cmd->u.review.operator));
      status = run_action (c, cmd, cmd->u.review.digest, "review",
                           zp_str_of (&body));
      break;
    case ZC_NUMBER:
      if (cmd->u.number.number > 0)
        zp_buf_printf (&body, "{\"number\":%" PRIu64 "}",
                       cmd->u.number.number);
      status = run_action (c, cmd, cmd->u.number.digest, "number",
                           zp_str_of (&body));
      break;
    case ZC_STATUS:
    case ZC_CONFIG:
    case ZC_DIFF:
    case ZC_EXPLAIN:
    case ZC_ENTRIES:
    case ZC_TRACE:
    case ZC_TIMELINE:
      break;
    }
  zp_buf_free (&body);
  return status;
}
