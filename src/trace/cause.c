#include "trace/cause.h"

#define REFUSED "a request is refused"
#define ATTEMPT "an attempt at a server has ended"
#define NO_ROUTE "a request has no route"

const char *
tr_cause_name (enum tr_cause_kind kind)
{
  switch (kind)
    {
    case TR_CAUSE_UNKNOWN:
      return "unknown";
    case TR_CAUSE_NO_ROUTE:
      return "no-route";
    case TR_CAUSE_OVERLOAD:
      return "overload";
    case TR_CAUSE_LINK_FULL:
      return "link-full";
    case TR_CAUSE_NO_SERVER:
      return "no-server";
    case TR_CAUSE_SERVER_SILENT:
      return "server-silent";
    case TR_CAUSE_SERVER_LOST:
      return "server-lost";
    case TR_CAUSE_ANSWER_LOST:
      return "answer-lost";
    case TR_CAUSE_SERVER_FAILED:
      return "server-failed";
    case TR_CAUSE_SERVER_REFUSED:
      return "server-refused";
    case TR_CAUSE_CRASHES:
      return "crashes-servers";
    case TR_CAUSE_LEASE_LOST:
      return "lease-lost";
    case TR_CAUSE_STOPPING:
      return "stopping";
    case TR_CAUSE_CALLER:
      return "caller";
    case TR_CAUSE_OTHER:
      return "other";
    case TR_CAUSE_NONE:
      return "none";
    }
  return "";
}

const char *
tr_cause_sentence (enum tr_cause_kind kind)
{
  switch (kind)
    {
    case TR_CAUSE_UNKNOWN:
      return "no line has this id: no entry daemon has read the request, it "
             "succeeded and was not sampled, lines were dropped, or its entry "
             "daemon ended";
    case TR_CAUSE_NO_ROUTE:
      return "the configuration that was in force has no route for the "
             "request";
    case TR_CAUSE_OVERLOAD:
      return "no server had a slot for it in time: there was more work than "
             "the servers could do";
    case TR_CAUSE_LINK_FULL:
      return "the link of the entry VM had no bandwidth left for the answer";
    case TR_CAUSE_NO_SERVER:
      return "no server was usable: all were gone, ejected or cold";
    case TR_CAUSE_SERVER_SILENT:
      return "the server did not answer in time";
    case TR_CAUSE_SERVER_LOST:
      return "the server was lost while it had the request";
    case TR_CAUSE_ANSWER_LOST:
      return "the connection to the server was lost before the answer, and no "
             "line reports that the server was lost";
    case TR_CAUSE_SERVER_FAILED:
      return "the server answered with a failure status";
    case TR_CAUSE_SERVER_REFUSED:
      return "the server was full and did not run the request";
    case TR_CAUSE_CRASHES:
      return "servers that ran the request before were lost: it may crash "
             "servers";
    case TR_CAUSE_LEASE_LOST:
      return "the lease of the entry daemon on the server ended";
    case TR_CAUSE_STOPPING:
      return "the entry daemon was stopping and had no time left for it";
    case TR_CAUSE_CALLER:
      return "the caller left, or its request was not valid";
    case TR_CAUSE_OTHER:
      return "the entry daemon refused the request for the reason in the line";
    case TR_CAUSE_NONE:
      return "the request was answered";
    }
  return "";
}

/* A value of a log field and the cause that it stands for.  A table ends with
   an element without a text.  */
struct text_cause
{
  const char *text;
  enum tr_cause_kind kind;
};

/* How an attempt at a server ended; see st_attempt_end_name.  */
static const struct text_cause ends[] = {
  { "answer", TR_CAUSE_NONE },
  { "failure-status", TR_CAUSE_SERVER_FAILED },
  { "shed", TR_CAUSE_SERVER_REFUSED },
  { "connection-refused", TR_CAUSE_SERVER_LOST },
  { "connection-lost", TR_CAUSE_ANSWER_LOST },
  { "timeout", TR_CAUSE_SERVER_SILENT },
  { "late", TR_CAUSE_SERVER_SILENT },
  { "cancelled", TR_CAUSE_CALLER },
  { NULL, TR_CAUSE_OTHER },
};

/* The reasons of refusals; see docs/operators/logs.md.  */
static const struct text_cause reasons[] = {
  { "queue-full", TR_CAUSE_OVERLOAD },
  { "no-capacity-in-time", TR_CAUSE_OVERLOAD },
  { "deadline", TR_CAUSE_OVERLOAD },
  { "link-full", TR_CAUSE_LINK_FULL },
  { "no-server", TR_CAUSE_NO_SERVER },
  { "no-server-in-time", TR_CAUSE_NO_SERVER },
  { "server-full", TR_CAUSE_SERVER_REFUSED },
  { "crashes-servers", TR_CAUSE_CRASHES },
  { "poison", TR_CAUSE_CRASHES },
  { "stopping", TR_CAUSE_STOPPING },
  { "caller-left", TR_CAUSE_CALLER },
  { "unknown-path", TR_CAUSE_CALLER },
  { "unknown-service", TR_CAUSE_CALLER },
  { "key-required", TR_CAUSE_CALLER },
  { "bad-key", TR_CAUSE_CALLER },
  { "no-key", TR_CAUSE_CALLER },
  { "unknown-key", TR_CAUSE_CALLER },
  { "key-taken", TR_CAUSE_CALLER },
  { "body-too-large", TR_CAUSE_CALLER },
  { "bad-header", TR_CAUSE_CALLER },
  { NULL, TR_CAUSE_OTHER },
};

/* The cause that TEXT stands for; that of the last element when TABLE does not
   contain TEXT.  */
static enum tr_cause_kind
find_cause (const struct text_cause *table, struct zp_str text)
{
  while (table->text && !zp_str_eq (text, zp_str_from (table->text)))
    table++;
  return table->kind;
}

/* Whether the two lines are at most TR_EVIDENCE_WINDOW apart.  */
static bool
near (const struct tr_line *a, const struct tr_line *b)
{
  return a->at - b->at <= TR_EVIDENCE_WINDOW
         && b->at - a->at <= TR_EVIDENCE_WINDOW;
}

/* Whether X reports that its server is lost.  */
static bool
reports_loss (const struct tr_line *x)
{
  return zp_str_eq (x->text, ZP_STR ("a server is gone"))
         || zp_str_eq (x->text, ZP_STR ("another server is at the address"))
         || zp_str_eq (tr_line_text (x, ZP_KEY_STATE), ZP_STR ("gone"))
         || zp_str_eq (tr_line_text (x, ZP_KEY_END),
                       ZP_STR ("connection-refused"));
}

/* Adds what the lines near the decision report about the server and the
   service.  */
static void
add_evidence (const struct tr_log *l, struct tr_cause *c)
{
  struct zp_str service = tr_line_text (c->decision, ZP_KEY_SERVICE);

  for (size_t i = 0; i < l->lines; i++)
    {
      const struct tr_line *x = &l->line[i];
      if (!near (x, c->decision))
        continue;
      bool same = zp_str_eq (tr_line_text (x, ZP_KEY_SERVER), c->server);
      if (same && !c->evidence && reports_loss (x))
        c->evidence = x;
      if (!zp_str_eq (x->text, ZP_STR (ATTEMPT))
          || !zp_str_eq (tr_line_text (x, ZP_KEY_SERVICE), service))
        continue;
      struct tr_attempts *a = same ? &c->at_server : &c->at_others;
      a->total++;
      a->failed
          += find_cause (ends, tr_line_text (x, ZP_KEY_END)) != TR_CAUSE_NONE;
    }
}

struct tr_cause
tr_cause_find (const struct tr_log *l, struct zp_str request)
{
  struct tr_cause c = { .kind = TR_CAUSE_UNKNOWN, .server = ZP_STR ("") };
  const struct tr_line *attempt = NULL;
  bool lease_lost = false;

  for (size_t i = 0; i < l->lines; i++)
    {
      const struct tr_line *x = &l->line[i];
      if (!zp_str_eq (tr_line_text (x, ZP_KEY_REQUEST), request))
        continue;
      c.decision = x;
      if (zp_str_eq (x->text, ZP_STR (ATTEMPT)))
        attempt = x;
      lease_lost
          = lease_lost
            || zp_str_eq (x->text, ZP_STR ("a request is cancelled: its "
                                           "lease has ended"));
    }
  if (!c.decision)
    return c;
  if (zp_str_eq (c.decision->text, ZP_STR (NO_ROUTE)))
    c.kind = TR_CAUSE_NO_ROUTE;
  else if (lease_lost)
    c.kind = TR_CAUSE_LEASE_LOST;
  else if (attempt)
    c.kind = find_cause (ends, tr_line_text (attempt, ZP_KEY_END));
  else
    c.kind = find_cause (reasons, tr_line_text (c.decision, ZP_KEY_REASON));
  c.server = attempt ? tr_line_text (attempt, ZP_KEY_SERVER)
                     : tr_line_text (c.decision, ZP_KEY_BEST_SERVER);
  add_evidence (l, &c);
  if (c.kind == TR_CAUSE_ANSWER_LOST && c.evidence)
    c.kind = TR_CAUSE_SERVER_LOST;
  return c;
}

bool
tr_line_mentions (const struct tr_line *x, struct zp_str name)
{
  static const enum zp_field_key keys[]
      = { ZP_KEY_REQUEST,     ZP_KEY_SERVICE, ZP_KEY_SERVER,
          ZP_KEY_BEST_SERVER, ZP_KEY_DAEMON,  ZP_KEY_FAILURE_DOMAIN,
          ZP_KEY_TICKET,      ZP_KEY_ADDRESS, ZP_KEY_WORKSPACE };
  uint64_t number;

  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    if (zp_str_eq (tr_line_text (x, keys[i]), name))
      return name.len > 0;
  /* Lines of requests have the field too, but do not report about the
     configuration.  */
  return zp_str_u64 (name, &number)
         && tr_line_text (x, ZP_KEY_REQUEST).len == 0
         && tr_line_number (x, ZP_KEY_CONFIGURATION, -1) == (int64_t) number;
}
