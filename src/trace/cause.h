/* NAME
     cause - finds the cause of a failed request in the log lines

   SYNOPSIS
     struct tr_cause c = tr_cause_find (&log, ZP_STR ("9e9fb2ed12923a84"));

   DESCRIPTION
     The decision is the last line that names the request.  Its fields hold
     what the decision was based on.  tr_cause_find adds what other lines
     within TR_EVIDENCE_WINDOW of it report about the same server or
     service.  */

#ifndef ZP_TRACE_CAUSE_H
#define ZP_TRACE_CAUSE_H

#include "trace/log.h"

/* Lines up to this time before or after the decision are attributed to the
   same fault.  A lost server is detected after three missed reports, 3 s by
   default.  The rest allows for clocks that differ, because they are corrected
   only as far as the lines of two processes show the difference.  */
#define TR_EVIDENCE_WINDOW (5 * ZP_SEC)

enum tr_cause_kind
{
  TR_CAUSE_UNKNOWN,        /* no line has the id */
  TR_CAUSE_NO_ROUTE,       /* the configuration has no route for it */
  TR_CAUSE_OVERLOAD,       /* no slot of the service became free in time */
  TR_CAUSE_LINK_FULL,      /* the link of the entry VM had no bandwidth left */
  TR_CAUSE_NO_SERVER,      /* every server was cold, ejected or lost */
  TR_CAUSE_SERVER_SILENT,  /* the server did not answer in time */
  TR_CAUSE_SERVER_LOST,    /* the server was lost while it had the request */
  TR_CAUSE_ANSWER_LOST,    /* connection lost; no line shows a lost server */
  TR_CAUSE_SERVER_FAILED,  /* the server answered with a failure */
  TR_CAUSE_SERVER_REFUSED, /* the server answered that it did not run it */
  TR_CAUSE_CRASHES,        /* servers that ran it have crashed */
  TR_CAUSE_LEASE_LOST,     /* the lease on a slot of the server ended */
  TR_CAUSE_STOPPING,       /* the entry daemon was about to end */
  TR_CAUSE_CALLER,         /* the request was not valid, or the caller left */
  TR_CAUSE_OTHER,          /* refused for the reason in the decision */
  TR_CAUSE_NONE,           /* it was answered */
};

/* Attempts that have a line within TR_EVIDENCE_WINDOW of the decision.  */
struct tr_attempts
{
  unsigned total, failed;
};

struct tr_cause
{
  enum tr_cause_kind kind;
  const struct tr_line *decision; /* NULL: no line has the id */
  const struct tr_line *evidence; /* reports the loss of SERVER; or NULL */
  struct zp_str server;           /* of the last attempt, or the best server
                                     at the refusal; empty: none */
  struct tr_attempts at_server;   /* attempts of the service at SERVER */
  struct tr_attempts at_others;   /* at all other servers of the service */
};

/* Finds the cause for the request with the id REQUEST.  The result points into
   L.  */
struct tr_cause tr_cause_find (const struct tr_log *l, struct zp_str request);

/* The name in the output of zpctl, such as "no-route".  */
const char *tr_cause_name (enum tr_cause_kind kind);

/* One sentence that explains KIND to an operator.  */
const char *tr_cause_sentence (enum tr_cause_kind kind);

/* Whether X mentions NAME in one of its fields: a request, server, service,
   daemon, failure domain, ticket or address, or the number of a
   configuration.  */
bool tr_line_mentions (const struct tr_line *x, struct zp_str name);

#endif
