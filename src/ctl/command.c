#include "ctl/command.h"

#include <json-c/json.h>
#include <stdio.h>

void
zc_print_json (struct json_object *v)
{
  puts (json_object_to_json_string_ext (v, ZC_JSON_PLAIN));
}

void
zc_print_errors (const struct zc_answer *a)
{
  struct json_object *root
      = json_tokener_parse (a->body.ptr ? a->body.ptr : "");
  struct json_object *errors = NULL;

  if (json_object_object_get_ex (root, "errors", &errors)
      && json_object_is_type (errors, json_type_array))
    for (size_t i = 0; i < json_object_array_length (errors); i++)
      fprintf (stderr, "zpctl: %s\n",
               json_object_get_string (json_object_array_get_idx (errors, i)));
  else
    fprintf (stderr, "zpctl: status %ld: %.*s\n", a->status,
             ZP_ARG (zp_str_of (&a->body)));
  json_object_put (root);
}

enum zc_exit
zc_print_unreachable (const struct zc_client *c, bool json,
                      const struct zp_err *err)
{
  if (json)
    {
      struct json_object *root = json_object_new_object ();
      struct json_object *list = json_object_new_array ();
      json_object_array_add (list, json_object_new_string (err->text));
      json_object_object_add (root, "state",
                              json_object_new_string ("unreachable"));
      json_object_object_add (root, "errors", list);
      zc_print_json (root);
      json_object_put (root);
      return ZC_UNREACHABLE;
    }
  fprintf (stderr,
           "zpctl: no usable answer from any of %zu servers; the last error:\n"
           "zpctl: %s\n"
           "next: check --server and the control VMs (zpctl status), then "
           "repeat the command; it takes effect only once\n",
           c->servers.len, err->text);
  return ZC_UNREACHABLE;
}

enum zc_exit
zc_run (const struct zc_client *c, const struct zc_command *cmd)
{
  switch (cmd->kind)
    {
    case ZC_SUBMIT:
    case ZC_REVIEW:
    case ZC_NUMBER:
      return zc_run_ticket (c, cmd);
    case ZC_STATUS:
      return zc_run_status (c, cmd);
    case ZC_CONFIG:
    case ZC_DIFF:
      return zc_run_config (c, cmd);
    case ZC_EXPLAIN:
    case ZC_ENTRIES:
      return zc_run_entry (c, cmd);
    case ZC_TRACE:
    case ZC_TIMELINE:
      return zc_run_logs (cmd);
    }
  return ZC_USAGE;
}
