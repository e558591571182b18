#include "trace/log.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

/* Reading.  */

/* The text of the member KEY of O; empty when it is missing or not a text.  */
static struct zp_str
text_member (struct json_object *o, const char *key)
{
  struct json_object *v;

  if (!json_object_object_get_ex (o, key, &v)
      || !json_object_is_type (v, json_type_string))
    return ZP_STR ("");
  return (struct zp_str){ .ptr = json_object_get_string (v),
                          .len = (size_t) json_object_get_string_len (v) };
}

/* Reads "2026-06-06T13:12:38.682186Z".  */
static bool
parse_time (struct zp_str s, zp_time *out)
{
  struct tm tm = { .tm_year = 0 };
  struct zp_buf text = zp_buf_from (s);
  char *rest
      = s.len > 0 ? strptime (text.ptr, "%Y-%m-%dT%H:%M:%S.", &tm) : NULL;
  char *end = NULL;
  long us = rest ? strtol (rest, &end, 10) : 0;
  bool ok = rest && end - rest == 6 && *end == 'Z';

  *out = (zp_time) timegm (&tm) * ZP_SEC + us;
  zp_buf_free (&text);
  return ok;
}

/* The index of the process; adds it if it is new.  */
static size_t
find_process (struct tr_log *l, struct zp_str file, int64_t pid)
{
  for (size_t i = l->processes; i-- > 0;)
    if (l->process[i].pid == pid
        && zp_str_eq (zp_str_of (&l->process[i].file), file))
      return i;
  l->process
      = zp_realloc (l->process, (l->processes + 1) * sizeof *l->process);
  l->process[l->processes]
      = (struct tr_process){ .file = zp_buf_from (file), .pid = pid };
  return l->processes++;
}

/* Returns false when BYTES is not a line of the programs.  */
static bool
add_line (struct tr_log *l, struct zp_str file, struct zp_str bytes,
          struct json_tokener *t)
{
  const char *begin = memchr (bytes.ptr, '{', bytes.len);
  struct json_object *v;
  struct tr_line x = { .object = NULL };

  if (!begin)
    return false;
  json_tokener_reset (t);
  x.object = json_tokener_parse_ex (
      t, begin, (int) (bytes.len - (size_t) (begin - bytes.ptr)));
  x.level = text_member (x.object, "level");
  x.program = text_member (x.object, "program");
  x.part = text_member (x.object, "part");
  x.text = text_member (x.object, "text");
  if (x.program.len == 0 || x.part.len == 0
      || !parse_time (text_member (x.object, "time"), &x.at)
      || !json_object_object_get_ex (x.object, "pid", &v))
    {
      json_object_put (x.object);
      return false;
    }
  x.process = find_process (l, file, json_object_get_int64 (v));
  if (json_object_object_get_ex (x.object, "dropped", &v))
    l->dropped += (size_t) json_object_get_int64 (v);
  /* The capacity doubles when the array is full, which is when the number of
     lines is a power of two.  */
  if ((l->lines & (l->lines - 1)) == 0)
    l->line = zp_realloc (l->line,
                          (l->lines ? 2 * l->lines : 1) * sizeof *l->line);
  l->line[l->lines++] = x;
  return true;
}

void
tr_log_add (struct tr_log *l, struct zp_str file, struct zp_str bytes)
{
  struct json_tokener *t = json_tokener_new ();
  struct zp_str line;

  while (bytes.len > 0)
    {
      zp_str_split (bytes, '\n', &line, &bytes);
      if (line.len > 0 && !add_line (l, file, line, t))
        l->skipped++;
    }
  json_tokener_free (t);
}

void
tr_log_free (struct tr_log *l)
{
  for (size_t i = 0; i < l->lines; i++)
    json_object_put (l->line[i].object);
  for (size_t i = 0; i < l->processes; i++)
    zp_buf_free (&l->process[i].file);
  free (l->line);
  free (l->process);
  *l = (struct tr_log){ .lines = 0 };
}

/* Fields.  */

struct zp_str
tr_line_text (const struct tr_line *l, enum zp_field_key key)
{
  return text_member (l->object, zp_field_name (key));
}

int64_t
tr_line_number (const struct tr_line *l, enum zp_field_key key,
                int64_t missing)
{
  struct json_object *v;

  if (!json_object_object_get_ex (l->object, zp_field_name (key), &v)
      || !json_object_is_type (v, json_type_int))
    return missing;
  return json_object_get_int64 (v);
}

/* Order.  */

/* A line that reports that a daemon has reached a version of the
   configuration.  */
struct change
{
  int64_t version;
  bool applied; /* true: by a control daemon; false: a daemon follows it */
  const struct tr_line *line;
};

/* Fills OUT; returns whether X reports a change.  */
static bool
read_change (const struct tr_line *x, struct change *out)
{
  *out = (struct change){ .version = tr_line_number (x, ZP_KEY_VERSION, -1),
                          .applied = zp_str_eq (x->part, ZP_STR ("control")),
                          .line = x };
  return out->version >= 0
         && (out->applied || zp_str_eq (x->part, ZP_STR ("follow"))
             || zp_str_eq (x->part, ZP_STR ("config")));
}

static int
by_version (const void *a, const void *b)
{
  const struct change *x = a, *y = b;

  return (x->version > y->version) - (x->version < y->version);
}

static zp_time
corrected (const struct tr_log *l, const struct tr_line *x)
{
  return x->at + l->process[x->process].offset;
}

/* The N changes of C have the same version.  Raises the offset of each process
   that follows the version before any control daemon has applied it, by the
   corrected times.  Returns whether an offset was raised.  */
static bool
raise_version (struct tr_log *l, const struct change *c, size_t n)
{
  zp_time first = ZP_NEVER;
  bool raised = false;

  /* The first control daemon to apply it: the leader, or one whose clock is
     behind that of the leader.  */
  for (size_t i = 0; i < n; i++)
    if (c[i].applied && corrected (l, c[i].line) < first)
      first = corrected (l, c[i].line);
  for (size_t i = 0; first < ZP_NEVER && i < n; i++)
    if (!c[i].applied && corrected (l, c[i].line) < first)
      {
        l->process[c[i].line->process].offset
            += first - corrected (l, c[i].line);
        raised = true;
      }
  return raised;
}

/* As raise_version for all N changes of C, which are sorted by version.  */
static bool
raise_offsets (struct tr_log *l, const struct change *c, size_t n)
{
  bool raised = false;

  for (size_t i = 0, end; i < n; i = end)
    {
      for (end = i; end < n && c[end].version == c[i].version;)
        end++;
      raised = raise_version (l, c + i, end - i) || raised;
    }
  return raised;
}

static int
by_time (const void *a, const void *b)
{
  const struct tr_line *x = a, *y = b;

  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  /* Two lines of one process never have the same time after
     make_times_increase, so a process keeps the order of its lines.  */
  return (x->process > y->process) - (x->process < y->process);
}

/* Makes the times of each process increase from line to line, as its clock can
   have been set back.  */
static void
make_times_increase (struct tr_log *l)
{
  for (size_t i = 0; i < l->lines; i++)
    {
      struct tr_line *x = &l->line[i];
      struct tr_process *p = &l->process[x->process];
      if (p->last_at > 0 && x->at <= p->last_at)
        x->at = p->last_at + 1;
      p->last_at = x->at;
    }
}

void
tr_log_order (struct tr_log *l)
{
  struct change *c = zp_alloc ((l->lines + 1) * sizeof *c);
  size_t n = 0;

  make_times_increase (l);
  for (size_t i = 0; i < l->lines; i++)
    n += read_change (&l->line[i], &c[n]);
  if (n > 1)
    qsort (c, n, sizeof *c, by_version);
  /* Daemons follow control daemons directly or through other daemons.  As many
     rounds as there are processes reach every daemon.  */
  for (size_t round = 0; round < l->processes; round++)
    if (!raise_offsets (l, c, n))
      break;
  free (c);
  for (size_t i = 0; i < l->lines; i++)
    l->line[i].at += l->process[l->line[i].process].offset;
  if (l->lines > 1)
    qsort (l->line, l->lines, sizeof *l->line, by_time);
}
