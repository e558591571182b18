#include <argp.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/arguments.h"
#include "base/process.h"
#include "ctl/command.h"
#include "ticket/ticket.h"

#define SERVERS_MAX 16
/* Enough for a command, a name and the log files of a deployment of some
   hundred daemons.  */
#define ARGS_MAX 1024
/* argp keys of options without a short name */
#define KEY_COUNT 256
#define KEY_SHOW_KEYS 257
#define WATCH_PERIOD ZP_SEC
#define TIMEOUT_DEFAULT_S 15 /* covers an election, which takes up to 9 s */

struct options
{
  struct zp_str server[SERVERS_MAX];
  size_t servers;
  const char *operator;
  uint64_t number;
  uint64_t timeout_s;
  uint64_t count;
  const char *entry, *caller;
  bool json, watch, show_keys;
  const char *arg[ARGS_MAX]; /* the command and its arguments */
  size_t args;
};

static const struct argp_option options[] = {
  { "server", 's', "IP:PORT[,IP:PORT...]", 0,
    "control daemons, tried in this order; may be given several times "
    "(default: environment variable ZPCTL_SERVERS)",
    0 },
  { "operator", 'o', "NAME", 0,
    "name of the reviewer (default: environment variable USER)", 0 },
  { "number", 'n', "N", 0, "claim exactly the number N for a ticket", 0 },
  { "timeout", 't', "SECONDS", 0, "give up after this time (default: 15)", 0 },
  { "entry", 'e', "IP:PORT", 0,
    "entry daemon for explain and entries (its \"http\" address)", 0 },
  { "caller", 'c', "IP", 0,
    "IPv4 address of the caller for explain (default: this host)", 0 },
  { "watch", 'w', NULL, 0, "repeat status every second until interrupted", 0 },
  { "count", KEY_COUNT, "N", 0, "with --watch: stop after N rounds", 0 },
  { "show-keys", KEY_SHOW_KEYS, NULL, 0,
    "with config and diff: print the keys of workspaces (default: how many "
    "there are)",
    0 },
  { "json", 'j', NULL, 0, "print one JSON value instead of text", 0 },
  { 0 },
};

static bool
add_servers (struct options *o, struct zp_str list)
{
  struct zp_str address;

  while (list.len > 0)
    {
      zp_str_split (list, ',', &address, &list);
      if (address.len == 0 || o->servers == SERVERS_MAX)
        return false;
      o->server[o->servers++] = address;
    }
  return true;
}

static void
parse_number (struct argp_state *state, const char *arg, uint64_t *out)
{
  if (!zp_str_u64 (zp_str_from (arg), out))
    argp_error (state, "\"%s\" is not a number", arg);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct options *o = state->input;

  switch (key)
    {
    case 's':
      if (!add_servers (o, zp_str_from (arg)))
        argp_error (state, "--server takes 1 to %d addresses", SERVERS_MAX);
      return 0;
    case 'o':
      o->operator= arg;
      return 0;
    case 'n':
      parse_number (state, arg, &o->number);
      if (o->number == 0)
        argp_error (state, "--number takes a number above 0");
      return 0;
    case 't':
      parse_number (state, arg, &o->timeout_s);
      return 0;
    case 'e':
      o->entry = arg;
      return 0;
    case 'c':
      o->caller = arg;
      return 0;
    case 'w':
      o->watch = true;
      return 0;
    case KEY_COUNT:
      parse_number (state, arg, &o->count);
      if (o->count == 0)
        argp_error (state, "--count takes a number above 0");
      return 0;
    case KEY_SHOW_KEYS:
      o->show_keys = true;
      return 0;
    case 'j':
      o->json = true;
      return 0;
    case ARGP_KEY_ARG:
      if (o->args == ARGS_MAX)
        argp_error (state, "too many arguments");
      o->arg[o->args++] = arg;
      return 0;
    case ARGP_KEY_END:
      if (o->servers == 0)
        add_servers (o, zp_str_from (getenv ("ZPCTL_SERVERS")));
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {
  .options = options,
  .parser = parse_option,
  .args_doc = "submit FILE\nreview DIGEST\nnumber DIGEST\nstatus\nconfig\n"
              "diff N M\nexplain SERVICE\nentries\ntrace REQUEST FILE...\n"
              "timeline NAME FILE...",
  .doc
  = "Operator tool of zinniapost: changes the configuration by tickets, and "
    "shows the state of the daemons."
    "\vA ticket changes the configuration in three steps: submit it, have "
    "it reviewed by an operator other than its author, and number it, which "
    "puts it in force.  If the answer to a command was lost, repeat the "
    "command: it takes effect only once.\n\n"
    "trace and timeline read log files.  trace shows why the request with "
    "the id REQUEST failed.  timeline shows the lines about NAME: a server, "
    "daemon, failure domain, service, ticket or number of a "
    "configuration.\n\n"
    "Exit status: 0 done; 1 refused, in conflict or not found; 2 wrong "
    "usage or unreadable log file; 3 no daemon answered.",
};

static int
usage (const char *text)
{
  fprintf (stderr, "zpctl: %s\nnext: zpctl --help\n", text);
  return ZC_USAGE;
}

/* Returns NULL, or an error text when an option is missing, invalid or not
   allowed for the command KIND.  */
static const char *
check_options (const struct options *o, enum zc_command_kind kind)
{
  bool needs_entry = kind == ZC_EXPLAIN || kind == ZC_ENTRIES;
  bool needs_files = kind == ZC_TRACE || kind == ZC_TIMELINE;
  struct in_addr address;

  if (needs_entry && !o->entry)
    return "no entry daemon given; use --entry IP:PORT";
  if (!needs_entry && o->entry)
    return "--entry is allowed only with \"explain\" and \"entries\"";
  if (!needs_entry && !needs_files && o->servers == 0)
    return "no server given; use --server IP:PORT or set ZPCTL_SERVERS";
  if (o->caller && kind != ZC_EXPLAIN)
    return "--caller is allowed only with \"explain\"";
  if (o->caller && inet_pton (AF_INET, o->caller, &address) != 1)
    return "--caller takes an IPv4 address";
  if (o->watch && kind != ZC_STATUS)
    return "--watch is allowed only with \"status\"";
  if (o->count > 0 && !o->watch)
    return "--count is allowed only with --watch";
  if (o->show_keys && kind != ZC_CONFIG && kind != ZC_DIFF)
    return "--show-keys is allowed only with \"config\" and \"diff\"";
  return NULL;
}

/* Fills OUT from the arguments and options.  Returns NULL, or an error text
   for the user.  */
static const char *
parse_command (const struct options *o, struct zc_command *out)
{
  static const struct
  {
    const char *name;
    enum zc_command_kind kind;
    size_t args; /* with the command itself */
    bool more;   /* further arguments are allowed */
  } commands[] = {
    { "submit", ZC_SUBMIT, 2, false },   { "review", ZC_REVIEW, 2, false },
    { "number", ZC_NUMBER, 2, false },   { "status", ZC_STATUS, 1, false },
    { "config", ZC_CONFIG, 1, false },   { "diff", ZC_DIFF, 3, false },
    { "explain", ZC_EXPLAIN, 2, false }, { "entries", ZC_ENTRIES, 1, false },
    { "trace", ZC_TRACE, 3, true },      { "timeline", ZC_TIMELINE, 3, true },
  };
  size_t i = 0, n = sizeof commands / sizeof commands[0];
  struct ti_digest digest;
  struct ti_text name;

  if (o->args == 0)
    return "no command given";
  while (i < n && strcmp (commands[i].name, o->arg[0]) != 0)
    i++;
  if (i == n)
    return "unknown command; allowed: submit, review, number, status, config, "
           "diff, explain, entries, trace, timeline";
  if (o->args < commands[i].args
      || (o->args > commands[i].args && !commands[i].more))
    return "wrong number of arguments for this command";
  if (o->number > 0 && commands[i].kind != ZC_NUMBER)
    return "--number is allowed only with \"number\"";
  const char *error = check_options (o, commands[i].kind);
  if (error)
    return error;
  *out = (struct zc_command){ .kind = commands[i].kind,
                              .json = o->json,
                              .show_keys = o->show_keys,
                              .entry = zp_str_from (o->entry) };
  switch (out->kind)
    {
    case ZC_SUBMIT:
      out->u.submit.file = o->arg[1];
      return NULL;
    case ZC_REVIEW:
      out->u.review = (struct zc_review){
        .digest = zp_str_from (o->arg[1]),
        .operator= zp_str_from (o->operator? o->operator: getenv ("USER")),
      };
      if (!ti_digest_parse (out->u.review.digest, &digest))
        return "a digest must have 64 hexadecimal digits";
      if (!ti_name_parse (out->u.review.operator, & name))
        return "the name of the reviewer is missing or invalid; use "
               "--operator NAME";
      return NULL;
    case ZC_NUMBER:
      out->u.number = (struct zc_number){ .digest = zp_str_from (o->arg[1]),
                                          .number = o->number };
      if (!ti_digest_parse (out->u.number.digest, &digest))
        return "a digest must have 64 hexadecimal digits";
      return NULL;
    case ZC_DIFF:
      if (!zp_str_u64 (zp_str_from (o->arg[1]), &out->u.diff.from)
          || !zp_str_u64 (zp_str_from (o->arg[2]), &out->u.diff.to))
        return "diff takes the numbers of two configurations";
      return NULL;
    case ZC_EXPLAIN:
      out->u.explain
          = (struct zc_explain){ .service = zp_str_from (o->arg[1]),
                                 .caller = zp_str_from (o->caller) };
      if (!ti_name_parse (out->u.explain.service, &name))
        return "invalid name of a service; zpctl config lists the services";
      return NULL;
    case ZC_STATUS:
      out->u.status = (struct zc_status){ .watch = o->watch,
                                          .count = o->count,
                                          .period = WATCH_PERIOD };
      return NULL;
    case ZC_TRACE:
    case ZC_TIMELINE:
      out->u.logs = (struct zc_logs){ .name = zp_str_from (o->arg[1]),
                                      .file = o->arg + 2,
                                      .files = o->args - 2 };
      return out->u.logs.name.len > 0 ? NULL : "the name is empty";
    case ZC_CONFIG:
    case ZC_ENTRIES:
      return NULL;
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  struct options o = { .timeout_s = TIMEOUT_DEFAULT_S };
  struct zc_command cmd;

  zp_process_forbid_cores ();
  argp_err_exit_status = ZC_USAGE;
  argp_program_version = ZP_VERSION;
  argp_parse (&argp, argc, argv, 0, NULL, &o);
  const char *error = parse_command (&o, &cmd);
  if (error)
    return usage (error);
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return ZC_UNREACHABLE;
  const struct zc_client client
      = { .servers = { .item = o.server, .len = o.servers },
          .limit = (zp_time) o.timeout_s * ZP_SEC };
  enum zc_exit status = zc_run (&client, &cmd);
  curl_global_cleanup ();
  return status;
}
