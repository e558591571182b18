#include <assert.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/settings.h"
#include "ctl/command.h"
#include "ctl/table.h"
#include "trace/cause.h"

/* Bytes of one log file: an hour of a daemon, which writes at most 300 lines
   of about 500 bytes each in a second.  */
#define LOG_FILE_MAX ((size_t) 1 << 29)

/* Whether put_line leaves KEY out of the list of fields: it shows KEY in front
   of the list, or not at all.  */
static bool
is_prefix_key (const char *key)
{
  static const char *const keys[]
      = { "time", "level", "program", "pid", "part", "text", "dropped" };

  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    if (zp_str_eq (zp_str_from (key), zp_str_from (keys[i])))
      return true;
  return false;
}

/* Reading.  */

/* Reads all files into OUT and orders their lines by time.  */
static bool
read_logs (const struct zc_logs *x, struct tr_log *out, struct zp_err *err)
{
  for (size_t i = 0; i < x->files; i++)
    {
      struct zp_buf b = { .ptr = NULL };
      bool ok = zp_file_read (x->file[i], &b, LOG_FILE_MAX, err);
      if (ok)
        tr_log_add (out, zp_str_from (x->file[i]), zp_str_of (&b));
      zp_buf_free (&b);
      if (!ok)
        return false;
    }
  if (out->lines == 0)
    return zp_fail (err, ZP_EINVAL,
                    "these files contain no log line of zinniapost");
  tr_log_order (out);
  return true;
}

/* Results as text.  */

/* Appends X as one line: time, program, pid, part and text, then each other
   field as KEY=VALUE.  */
static void
put_line (struct zp_buf *out, const struct tr_log *l, const struct tr_line *x)
{
  const struct tr_process *p = &l->process[x->process];
  struct json_object *time = NULL;

  assert (l->process && x->process < l->processes);
  json_object_object_get_ex (x->object, "time", &time);
  zp_buf_printf (out, "%s  %.*s[%lld] %.*s: ", json_object_get_string (time),
                 ZP_ARG (x->program), (long long) p->pid, ZP_ARG (x->part));
  zc_value_put (out, x->object, "text");
  json_object_object_foreach (x->object, key, value)
  {
    (void) value;
    if (is_prefix_key (key))
      continue;
    zp_buf_printf (out, " %s=", key);
    zc_value_put (out, x->object, key);
  }
  zp_buf_put (out, ZP_STR ("\n"));
}

/* Notes on what makes the result less reliable: missing lines and clocks that
   differ.  */
static void
put_notes (struct zp_buf *out, const struct tr_log *l)
{
  if (l->dropped > 0)
    zp_buf_printf (out, "note: the programs dropped %zu lines\n", l->dropped);
  if (l->skipped > 0)
    zp_buf_printf (out, "note: %zu lines are not of zinniapost\n", l->skipped);
  for (size_t i = 0; i < l->processes; i++)
    if (l->process[i].offset >= ZP_MS)
      zp_buf_printf (out,
                     "note: the clock of %s, pid %lld is at least %lld ms "
                     "behind\n",
                     l->process[i].file.ptr, (long long) l->process[i].pid,
                     (long long) (l->process[i].offset / ZP_MS));
}

static void
put_attempts (struct zp_buf *out, const struct tr_cause *c)
{
  zp_buf_printf (out, "attempts that have a line, %d s before and after: ",
                 (int) (TR_EVIDENCE_WINDOW / ZP_SEC));
  if (c->server.len > 0)
    zp_buf_printf (out, "%u of %u failed at %.*s, ", c->at_server.failed,
                   c->at_server.total, ZP_ARG (c->server));
  zp_buf_printf (out, "%u of %u at other servers of the service\n",
                 c->at_others.failed, c->at_others.total);
}

static void
put_cause (struct zp_buf *out, const struct tr_log *l, struct zp_str request,
           const struct tr_cause *c)
{
  zp_buf_printf (out, "cause: %s: %s\n", tr_cause_name (c->kind),
                 tr_cause_sentence (c->kind));
  if (!c->decision)
    return;
  if (c->server.len > 0)
    zp_buf_printf (out, "server: %.*s\n", ZP_ARG (c->server));
  put_attempts (out, c);
  if (c->evidence)
    {
      zp_buf_put (out, ZP_STR ("evidence:\n"));
      put_line (out, l, c->evidence);
    }
  zp_buf_put (out, ZP_STR ("lines of the request, the last one decided:\n"));
  for (size_t i = 0; i < l->lines; i++)
    if (zp_str_eq (tr_line_text (&l->line[i], ZP_KEY_REQUEST), request))
      put_line (out, l, &l->line[i]);
}

/* Results as JSON.  */

static struct json_object *
text_json (struct zp_str s)
{
  return json_object_new_string_len (s.ptr, (int) s.len);
}

static struct json_object *
attempts_json (const struct tr_attempts *a)
{
  struct json_object *o = json_object_new_object ();

  json_object_object_add (o, "recorded", json_object_new_int64 (a->total));
  json_object_object_add (o, "failed", json_object_new_int64 (a->failed));
  return o;
}

static struct json_object *
line_json (const struct tr_log *l, const struct tr_line *x)
{
  struct json_object *o = json_object_new_object ();

  json_object_object_add (
      o, "file", text_json (zp_str_of (&l->process[x->process].file)));
  json_object_object_add (o, "line", json_object_get (x->object));
  return o;
}

static struct json_object *
cause_json (const struct tr_log *l, struct zp_str request,
            const struct tr_cause *c)
{
  struct json_object *o = json_object_new_object ();
  struct json_object *lines = json_object_new_array ();

  json_object_object_add (o, "request", text_json (request));
  json_object_object_add (o, "cause",
                          text_json (zp_str_from (tr_cause_name (c->kind))));
  json_object_object_add (
      o, "meaning", text_json (zp_str_from (tr_cause_sentence (c->kind))));
  json_object_object_add (o, "server", text_json (c->server));
  json_object_object_add (o, "attempts_at_server",
                          attempts_json (&c->at_server));
  json_object_object_add (o, "attempts_elsewhere",
                          attempts_json (&c->at_others));
  json_object_object_add (o, "evidence",
                          c->evidence ? line_json (l, c->evidence) : NULL);
  for (size_t i = 0; i < l->lines; i++)
    if (zp_str_eq (tr_line_text (&l->line[i], ZP_KEY_REQUEST), request))
      json_object_array_add (lines, line_json (l, &l->line[i]));
  json_object_object_add (o, "lines", lines);
  json_object_object_add (o, "dropped", json_object_new_int64 (l->dropped));
  return o;
}

/* Commands.  */

static bool
show_trace (const struct tr_log *l, const struct zc_command *cmd,
            struct zp_buf *out)
{
  struct tr_cause c = tr_cause_find (l, cmd->u.logs.name);

  if (cmd->json)
    {
      struct json_object *o = cause_json (l, cmd->u.logs.name, &c);
      zp_buf_printf (out, "%s\n",
                     json_object_to_json_string_ext (o, ZC_JSON_PLAIN));
      json_object_put (o);
    }
  else
    {
      put_cause (out, l, cmd->u.logs.name, &c);
      put_notes (out, l);
    }
  return c.decision != NULL;
}

static bool
show_timeline (const struct tr_log *l, const struct zc_command *cmd,
               struct zp_buf *out)
{
  struct json_object *list = json_object_new_array ();
  size_t found = 0;

  for (size_t i = 0; i < l->lines; i++)
    if (tr_line_mentions (&l->line[i], cmd->u.logs.name))
      {
        found++;
        if (cmd->json)
          json_object_array_add (list, line_json (l, &l->line[i]));
        else
          put_line (out, l, &l->line[i]);
      }
  if (cmd->json)
    zp_buf_printf (out, "%s\n",
                   json_object_to_json_string_ext (list, ZC_JSON_PLAIN));
  else
    put_notes (out, l);
  json_object_put (list);
  return found > 0;
}

enum zc_exit
zc_logs_text (const struct zc_command *cmd, struct zp_buf *out,
              struct zp_buf *errors)
{
  struct tr_log l = { .lines = 0 };
  struct zp_err err = { .text = "" };
  enum zc_exit status = ZC_USAGE;

  if (!read_logs (&cmd->u.logs, &l, &err))
    zp_buf_printf (errors,
                   "zpctl: %s\nnext: give the files that hold the standard "
                   "output of the daemons\n",
                   err.text);
  else if (cmd->kind == ZC_TRACE ? show_trace (&l, cmd, out)
                                 : show_timeline (&l, cmd, out))
    status = ZC_DONE;
  else
    {
      status = ZC_REFUSED;
      zp_buf_printf (errors,
                     "zpctl: \"%.*s\" not found in %zu lines of %zu "
                     "processes\nnext: give the log files of all daemons that "
                     "cover the time of the request\n",
                     ZP_ARG (cmd->u.logs.name), l.lines, l.processes);
    }
  tr_log_free (&l);
  return status;
}

enum zc_exit
zc_run_logs (const struct zc_command *cmd)
{
  struct zp_buf out = { .ptr = NULL }, errors = { .ptr = NULL };
  enum zc_exit status = zc_logs_text (cmd, &out, &errors);

  fwrite (out.ptr, 1, out.len, stdout);
  fwrite (errors.ptr, 1, errors.len, stderr);
  zp_buf_free (&out);
  zp_buf_free (&errors);
  return status;
}
