#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "ctl/command.h"

/* The pages are read again from the first one when the configuration changes
   between two of them; READS_MAX is the number of reads in all.  */
#define READS_MAX 5

enum page_result
{
  PAGE_LAST,
  PAGE_MORE,
  PAGE_CHANGED, /* it belongs to another configuration than the first page */
  PAGE_BAD,     /* it could not be read, or is no page of objects */
};

/* Adds the objects of PAGE to MERGED; the first page becomes MERGED itself.
   Sets AFTER to the key after which the next page starts.  */
static enum page_result
add_page (struct json_object **merged, struct json_object *page,
          struct zp_buf *after)
{
  static const char *const version_keys[]
      = { "number", "version", "from", "to" };
  struct json_object *objects = NULL, *all = NULL, *next = NULL;

  if (!json_object_object_get_ex (page, "objects", &objects)
      || !json_object_is_type (objects, json_type_object))
    return PAGE_BAD;
  json_object_object_get_ex (page, "next", &next);
  zp_buf_clear (after);
  if (next)
    zp_buf_put (after, zp_str_from (json_object_get_string (next)));
  if (!*merged)
    *merged = json_object_get (page);
  for (size_t i = 0; i < sizeof version_keys / sizeof version_keys[0]; i++)
    {
      struct json_object *a = NULL, *b = NULL;
      json_object_object_get_ex (*merged, version_keys[i], &a);
      json_object_object_get_ex (page, version_keys[i], &b);
      if (json_object_get_int64 (a) != json_object_get_int64 (b))
        return PAGE_CHANGED;
    }
  json_object_object_get_ex (*merged, "objects", &all);
  if (all != objects)
    {
      json_object_object_foreach (objects, key, value)
      {
        json_object_object_add (all, key, json_object_get (value));
      }
    }
  return next ? PAGE_MORE : PAGE_LAST;
}

static bool
fetch_page (const struct zc_client *c, const char *target,
            const struct zp_buf *after, struct zc_answer *a,
            struct zp_err *err)
{
  struct zp_buf t = zp_buf_from (zp_str_from (target));

  if (after->len > 0)
    zp_buf_printf (&t, "%safter=%.*s", strchr (target, '?') ? "&" : "?",
                   ZP_ARG (zp_str_of (after)));
  const struct zc_request r = { .method = "GET", .target = zp_str_of (&t) };
  bool ok = zc_send (c, &r, a, err);
  zp_buf_free (&t);
  return ok;
}

/* Reads all pages once.  Returns PAGE_LAST with all objects in MERGED;
   PAGE_CHANGED; or PAGE_BAD.  After PAGE_BAD the bad answer is in A, or, when
   no server answered, the status of A is 0 and ERR is filled.  */
static enum page_result
fetch_pages (const struct zc_client *c, const char *target,
             struct json_object **merged, struct zc_answer *a,
             struct zp_err *err)
{
  struct zp_buf after = { .ptr = NULL };
  enum page_result result = PAGE_MORE;

  while (result == PAGE_MORE)
    {
      a->status = 0;
      result = PAGE_BAD;
      if (!fetch_page (c, target, &after, a, err) || a->status != 200)
        break;
      struct json_object *page
          = json_tokener_parse (a->body.ptr ? a->body.ptr : "");
      result = add_page (merged, page, &after);
      json_object_put (page);
    }
  zp_buf_free (&after);
  if (result != PAGE_LAST)
    {
      json_object_put (*merged);
      *merged = NULL;
    }
  return result;
}

/* Results as text.  */

static void
print_config (struct json_object *merged)
{
  struct json_object *objects, *number;

  json_object_object_get_ex (merged, "objects", &objects);
  json_object_object_get_ex (merged, "number", &number);
  printf ("number %" PRId64 "\n", json_object_get_int64 (number));
  json_object_object_foreach (objects, key, value)
  {
    struct json_object *changed = NULL, *object = NULL, *moved = NULL;
    json_object_object_get_ex (value, "number", &changed);
    json_object_object_get_ex (value, "object", &object);
    printf ("%s %s (changed by %" PRId64, key,
            json_object_to_json_string_ext (object, ZC_JSON_PLAIN),
            json_object_get_int64 (changed));
    if (json_object_object_get_ex (value, "moved", &moved))
      printf (", moved %s",
              json_object_to_json_string_ext (moved, ZC_JSON_PLAIN));
    puts (")");
  }
}

static void
print_diff (struct json_object *merged)
{
  struct json_object *objects;

  json_object_object_get_ex (merged, "objects", &objects);
  json_object_object_foreach (objects, key, value)
  {
    struct json_object *before = NULL, *after = NULL;
    json_object_object_get_ex (value, "before", &before);
    json_object_object_get_ex (value, "after", &after);
    if (before)
      printf ("- %s %s\n", key,
              json_object_to_json_string_ext (before, ZC_JSON_PLAIN));
    if (after)
      printf ("+ %s %s\n", key,
              json_object_to_json_string_ext (after, ZC_JSON_PLAIN));
  }
}

/* Prints MERGED as CMD asks for and releases it.  */
static enum zc_exit
print_merged (const struct zc_command *cmd, struct json_object *merged)
{
  json_object_object_del (merged, "next");
  if (cmd->json)
    zc_print_json (merged);
  else if (cmd->kind == ZC_DIFF)
    print_diff (merged);
  else
    print_config (merged);
  json_object_put (merged);
  return ZC_DONE;
}

static enum zc_exit
print_refused (bool json, const struct zc_answer *a)
{
  if (json && a->body.len > 0)
    fputs (a->body.ptr, stdout);
  else
    zc_print_errors (a);
  return ZC_REFUSED;
}

enum zc_exit
zc_run_config (const struct zc_client *c, const struct zc_command *cmd)
{
  char target[96] = "/v1/config";
  struct json_object *merged = NULL;
  struct zc_answer a = { .status = 0 };
  struct zp_err err = { .text = "the configuration changed while it was read; "
                                "give the command again" };
  enum page_result result = PAGE_CHANGED;

  if (cmd->kind == ZC_DIFF)
    snprintf (target, sizeof target, "/v1/diff?from=%" PRIu64 "&to=%" PRIu64,
              cmd->u.diff.from, cmd->u.diff.to);
  if (cmd->show_keys)
    {
      size_t len = strlen (target);
      snprintf (target + len, sizeof target - len, "%ckeys=show",
                cmd->kind == ZC_DIFF ? '&' : '?');
    }
  for (unsigned i = 0; i < READS_MAX && result == PAGE_CHANGED; i++)
    result = fetch_pages (c, target, &merged, &a, &err);
  enum zc_exit status;
  if (result == PAGE_LAST)
    status = print_merged (cmd, merged);
  else if (result == PAGE_BAD && a.status != 0)
    status = print_refused (cmd->json, &a);
  else
    status = zc_print_unreachable (c, cmd->json, &err);
  zp_buf_free (&a.body);
  return status;
}
