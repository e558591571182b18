/* NAME
     command - the commands of zpctl

   DESCRIPTION
     Each command sends its requests or reads its files, prints the result and
     returns the exit status of the program.

     Text is the default: results go to standard output; errors, with a line
     "next: ..." that tells the operator what to do, go to standard error.

     With JSON set, a result or error goes to standard output as one JSON
     value; zpctl status --watch prints one value for each round.  Reported as
     text on standard error nevertheless: wrong arguments, log files that
     cannot be read, an id or name that no log line has (in addition to the
     JSON value) and, for the commands on tickets, answers that are not
     JSON.  */

#ifndef ZP_CTL_COMMAND_H
#define ZP_CTL_COMMAND_H

#include "ctl/client.h"

/* Exit status of zpctl.  */
enum zc_exit
{
  ZC_DONE = 0,
  ZC_REFUSED = 1,     /* refused, in conflict, or not found */
  ZC_USAGE = 2,       /* wrong arguments, or a log file cannot be read */
  ZC_UNREACHABLE = 3, /* no daemon gave a usable answer in time */
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
  const char *file; /* path of the ticket */
};

struct zc_review
{
  struct zp_str digest;
  struct zp_str operator; /* name of the reviewer */
};

struct zc_number
{
  struct zp_str digest;
  uint64_t number; /* to claim; 0: the next one */
};

struct zc_diff
{
  uint64_t from, to; /* numbers of two configurations */
};

struct zc_explain
{
  struct zp_str service;
  struct zp_str caller; /* IPv4 address; empty: this host */
};

/* Arguments of ZC_TRACE and ZC_TIMELINE.  */
struct zc_logs
{
  /* ZC_TRACE: the id of a request.  ZC_TIMELINE: a name or number to search
     the lines for, such as a server, service, daemon or ticket.  */
  struct zp_str name;
  const char *const *file; /* paths of log files */
  size_t files;
};

struct zc_status
{
  bool watch;
  uint64_t count; /* with WATCH, number of rounds; 0: no limit */
  zp_time period; /* between two rounds */
};

struct zc_command
{
  enum zc_command_kind kind;
  bool json;
  bool show_keys;      /* ZC_CONFIG and ZC_DIFF: with keys of workspaces */
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

/* Runs any command.  */
enum zc_exit zc_run (const struct zc_client *c, const struct zc_command *cmd);

/* Each of the functions below runs the commands named in its comment.  */

/* ZC_SUBMIT, ZC_REVIEW and ZC_NUMBER.  */
enum zc_exit zc_run_ticket (const struct zc_client *c,
                            const struct zc_command *cmd);

/* ZC_STATUS.  */
enum zc_exit zc_run_status (const struct zc_client *c,
                            const struct zc_command *cmd);

/* ZC_CONFIG and ZC_DIFF.  */
enum zc_exit zc_run_config (const struct zc_client *c,
                            const struct zc_command *cmd);

/* ZC_EXPLAIN and ZC_ENTRIES.  */
enum zc_exit zc_run_entry (const struct zc_client *c,
                           const struct zc_command *cmd);

/* As zc_run_entry, but appends the text for standard output to OUT and the
   text for standard error to ERRORS.  */
enum zc_exit zc_entry_text (const struct zc_client *c,
                            const struct zc_command *cmd, struct zp_buf *out,
                            struct zp_buf *errors);

/* ZC_TRACE and ZC_TIMELINE.  */
enum zc_exit zc_run_logs (const struct zc_command *cmd);

/* As zc_run_logs, but appends the text for standard output to OUT and the
   text for standard error to ERRORS.  */
enum zc_exit zc_logs_text (const struct zc_command *cmd, struct zp_buf *out,
                           struct zp_buf *errors);

/* Prints that no server gave a usable answer, with the text of ERR, and
   returns ZC_UNREACHABLE.  */
enum zc_exit zc_print_unreachable (const struct zc_client *c, bool json,
                                   const struct zp_err *err);

struct json_object;

/* Flags of json-c: one line, without "\/" for slashes.  */
#define ZC_JSON_PLAIN (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

/* Prints V on one line.  */
void zc_print_json (struct json_object *v);

/* Prints the texts of the member "errors" of the answer to standard error, one
   a line.  Without that member, prints the status and the body.  */
void zc_print_errors (const struct zc_answer *a);

#endif
