/* NAME
     cause - why a request ended as it did, from the lines of the programs

   SYNOPSIS
     struct tr_cause c = tr_cause_find (&log, ZP_STR ("9e9fb2ed12923a84"));

   DESCRIPTION
     The decision is the last line of the request.  What the decision rested on
     are fields of that line; tr_cause_find adds what other lines say of the
     same server or service around that time.  */

#ifndef ZP_TRACE_CAUSE_H
#define ZP_TRACE_CAUSE_H

#include "trace/log.h"

/* Lines so far from the decision still count as being about the same fault: a
   lost server is noticed after three missed reports, 3 s by default, and
   clocks are corrected only where lines of two processes touch.  */
#define TR_EVIDENCE_WINDOW (5 * ZP_SEC)

enum tr_cause_kind
{
  TR_CAUSE_UNKNOWN,        /* no line has the id */
  TR_CAUSE_NO_ROUTE,       /* no configuration allows it */
  TR_CAUSE_OVERLOAD,       /* the service had no slot in time */
  TR_CAUSE_LINK_FULL,      /* the link of the entry VM had no room */
  TR_CAUSE_NO_SERVER,      /* every server was cold, ejected or gone */
  TR_CAUSE_SERVER_SILENT,  /* the server did not answer in time */
  TR_CAUSE_SERVER_LOST,    /* the server was lost with the request */
  TR_CAUSE_ANSWER_LOST,    /* the connection was lost, the server was not */
  TR_CAUSE_SERVER_FAILED,  /* the server answered with a failure */
  TR_CAUSE_SERVER_REFUSED, /* the server said that it did not run it */
  TR_CAUSE_CRASHES,        /* it crashes the servers that run it */
  TR_CAUSE_LEASE_LOST,     /* the right to use the server ran out */
  TR_CAUSE_CALLER,         /* the caller made a mistake or left */
  TR_CAUSE_OTHER,          /* refused for the reason of the decision */
  TR_CAUSE_NONE,           /* it was answered */
};

/* Recorded attempts at one server, or at all others of its service, near the
   decision.  */
struct tr_attempts
{
  unsigned total, failed;
};

struct tr_cause
{
  enum tr_cause_kind kind;
  const struct tr_line *decision; /* NULL: no line has the id */
  const struct tr_line *evidence; /* of another request or part; may be NULL */
  struct zp_str server;           /* empty: none */
  struct tr_attempts at_server, at_others;
};

struct tr_cause tr_cause_find (const struct tr_log *l, struct zp_str request);

const char *tr_cause_name (enum tr_cause_kind kind);

/* One sentence for an operator.  */
const char *tr_cause_sentence (enum tr_cause_kind kind);

/* Whether X is about NAME: a request, server, service, daemon, failure domain,
   ticket or address, or the number of a configuration.  */
bool tr_line_mentions (const struct tr_line *x, struct zp_str name);

#endif
