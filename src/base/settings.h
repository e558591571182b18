/* NAME
     settings - reads and checks a settings file: JSON with comments

   DESCRIPTION
     A program describes its settings by an array of struct zp_setting, whose
     last entry has a NULL key, and loads a file into a struct of its own.  A
     key that the file does not have leaves its field as it was, so the program
     sets the defaults before.  Strings and lists are valid until
     zp_settings_free.

   ERRORS
     The whole file is checked.  Each mistake adds a line to the report with
     the file, the key, what was found and what is allowed.  An unknown key is
     a mistake.

   RETURN VALUE
     zp_settings_load returns true when it added nothing to the report.  */

#ifndef ZP_BASE_SETTINGS_H
#define ZP_BASE_SETTINGS_H

#include "base/clock.h"
#include "base/err.h"

enum zp_setting_kind
{
  ZP_SETTING_TEXT,     /* struct zp_str */
  ZP_SETTING_INT,      /* int64_t, MIN to MAX */
  ZP_SETTING_BOOL,     /* bool */
  ZP_SETTING_LIST,     /* struct zp_strs, list of strings */
  ZP_SETTING_DURATION, /* zp_time, from text such as "250ms" or "2.5s" */
  ZP_SETTING_REAL,     /* double, MIN to MAX */
};

/* A list of strings.  */
struct zp_strs
{
  struct zp_str *item;
  size_t len;
};

struct zp_setting
{
  const char *key;
  enum zp_setting_kind kind;
  bool required;
  size_t offset;       /* of the field in the program's struct */
  int64_t min, max;    /* of numbers, both allowed */
  const char *allowed; /* for messages; NULL: made from the other fields */
};

struct json_object;

struct zp_settings
{
  struct json_object *root; /* owns the bytes of all strings */
  struct zp_strs lists[16]; /* owns the arrays of the lists */
  size_t list_count;
};

/* Parses a duration in "ms" or "s", such as "250ms" or "2.5s".  Returns false
   for any other text.  */
bool zp_duration_parse (struct zp_str text, zp_time *out);

/* Appends the contents of a file of at most MAX bytes to OUT.  */
bool zp_file_read (const char *path, struct zp_buf *out, size_t max,
                   struct zp_err *err);

/* Parses TEXT, which has to hold one JSON value; comments are allowed.  The
   error names line and column.  Returns NULL on error.  */
struct json_object *zp_json_parse (struct zp_str text, struct zp_err *err);

bool zp_settings_load (struct zp_settings *s, const char *path,
                       const struct zp_setting *table, void *out,
                       struct zp_report *report);
void zp_settings_free (struct zp_settings *s);

#endif
