/* NAME
     settings - checked settings of a program, in JSON with comments

   DESCRIPTION
     A program describes its settings by an array of struct zp_setting that
     ends with a NULL key, and loads a file into its own struct.  The whole
     file is checked: every mistake is added to the report with file, key, what
     was found and what is allowed.  Unknown keys are mistakes.  Strings and
     lists live as long as the struct zp_settings that loaded them.

   RETURN VALUE
     zp_settings_load returns true when the report stayed empty.  */

#ifndef ZP_BASE_SETTINGS_H
#define ZP_BASE_SETTINGS_H

#include "base/clock.h"
#include "base/err.h"

enum zp_setting_kind
{
  ZP_SETTING_TEXT,     /* struct zp_str */
  ZP_SETTING_INT,      /* int64_t, MIN to MAX */
  ZP_SETTING_BOOL,     /* bool */
  ZP_SETTING_LIST,     /* struct zp_strs, of text */
  ZP_SETTING_DURATION, /* zp_time, from text such as "250ms" or "2.5s" */
  ZP_SETTING_REAL,     /* double, MIN to MAX */
};

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
  size_t offset; /* of the field in the program's struct */
  int64_t min, max;
  const char *allowed; /* for messages; NULL: from kind and limits */
};

struct json_object;

struct zp_settings
{
  struct json_object *root;
  struct zp_strs lists[16];
  size_t list_count;
};

/* Reads "250ms" or "2.5s".  Returns false for any other text.  */
bool zp_duration_parse (struct zp_str text, zp_time *out);

/* Reads a whole file of at most MAX bytes.  */
bool zp_file_read (const char *path, struct zp_buf *out, size_t max,
                   struct zp_err *err);

/* Parses TEXT as JSON with comments.  The error names line and column.  */
struct json_object *zp_json_parse (struct zp_str text, struct zp_err *err);

bool zp_settings_load (struct zp_settings *s, const char *path,
                       const struct zp_setting *table, void *out,
                       struct zp_report *report);
void zp_settings_free (struct zp_settings *s);

#endif
