/* NAME
     command - the commands of zpctl

   DESCRIPTION
     Each command sends its requests, prints the answer and returns the exit
     status.  With JSON set, standard output is one JSON value in every case;
     otherwise results go to standard output and mistakes, with what to do
     next, to standard error.  */

#ifndef ZP_CTL_COMMAND_H
#define ZP_CTL_COMMAND_H

#include "ctl/client.h"

enum zc_exit
{
  ZC_DONE = 0,
  ZC_REFUSED = 1, /* refused, in conflict, or not found */
  ZC_USAGE = 2,
  ZC_UNREACHABLE = 3,
};

enum zc_command_kind
{
  ZC_SUBMIT,
  ZC_REVIEW,
  ZC_NUMBER,
  ZC_STATUS,
  ZC_CONFIG,
  ZC_DIFF,
  ZC_EXPLAIN,
  ZC_ENTRIES,
  ZC_TRACE,
  ZC_TIMELINE,
};

struct zc_submit
{
  const char *file;
};

struct zc_review
{
  struct zp_str digest;
  struct zp_str operator;
};

struct zc_number
{
  struct zp_str digest;
  uint64_t number; /* claimed; 0: none */
};

struct zc_diff
{
  uint64_t from, to;
};

struct zc_explain
{
  struct zp_str service;
  struct zp_str caller; /* IPv4 address; empty: this host */
};

/* NAME is the id of a request for ZC_TRACE, and of anything that lines are
   about for ZC_TIMELINE.  */
struct zc_logs
{
  struct zp_str name;
  const char *const *file;
  size_t files;
};

struct zc_status
{
  bool watch;
  uint64_t count; /* rounds of a watch at most; 0: no limit */
  zp_time period; /* between two rounds */
};

struct zc_command
{
  enum zc_command_kind kind;
  bool json;
  struct zp_str entry; /* "IP:port" for ZC_EXPLAIN and ZC_ENTRIES */
  union
  {
    struct zc_submit submit;
    struct zc_review review;
    struct zc_number number;
    struct zc_diff diff;
    struct zc_explain explain;
    struct zc_status status;
    struct zc_logs logs;
  } u;
};

enum zc_exit zc_run (const struct zc_client *c, const struct zc_command *cmd);

/* Files of this program.  */
enum zc_exit zc_run_ticket (const struct zc_client *c,
                            const struct zc_command *cmd);
enum zc_exit zc_run_status (const struct zc_client *c,
                            const struct zc_command *cmd);
enum zc_exit zc_run_entry (const struct zc_client *c,
                           const struct zc_command *cmd);

/* ZC_EXPLAIN and ZC_ENTRIES with the text for standard output in OUT and for
   standard error in ERRORS.  */
enum zc_exit zc_entry_text (const struct zc_client *c,
                            const struct zc_command *cmd, struct zp_buf *out,
                            struct zp_buf *errors);

enum zc_exit zc_run_logs (const struct zc_command *cmd);

/* ZC_TRACE and ZC_TIMELINE with the text for standard output in OUT and for
   standard error in ERRORS.  */
enum zc_exit zc_logs_text (const struct zc_command *cmd, struct zp_buf *out,
                           struct zp_buf *errors);

enum zc_exit zc_run_config (const struct zc_client *c,
                            const struct zc_command *cmd);

/* Reports that no server gave an answer.  */
enum zc_exit zc_print_unreachable (const struct zc_client *c, bool json,
                                   const struct zp_err *err);

struct json_object;

/* JSON on one line, slashes as they are.  */
#define ZC_JSON_PLAIN (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

/* Prints V on one line.  */
void zc_print_json (struct json_object *v);

/* Prints the mistakes of an answer, or its plain text.  */
void zc_print_errors (const struct zc_answer *a);

#endif
