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
             "went well and is not in the sample, lines were dropped, or its "
             "entry daemon ended";
    case TR_CAUSE_NO_ROUTE:
      return "the configuration that was in force has no route for it";
    case TR_CAUSE_OVERLOAD:
      return "no server had a slot for it in time: there was more work than "
             "the servers could do";
    case TR_CAUSE_LINK_FULL:
      return "the link of the entry VM had no room for its answer";
    case TR_CAUSE_NO_SERVER:
      return "no server could be used: all were gone, ejected or cold";
    case TR_CAUSE_SERVER_SILENT:
      return "the server did not answer in time";
    case TR_CAUSE_SERVER_LOST:
      return "the server was lost while it had the request";
    case TR_CAUSE_ANSWER_LOST:
      return "the connection to the server was lost before the answer, and no "
             "line says that the server was lost";
    case TR_CAUSE_SERVER_FAILED:
      return "the server answered with a failure of its own";
    case TR_CAUSE_SERVER_REFUSED:
      return "the server was full and did not run it";
    case TR_CAUSE_CRASHES:
      return "the servers that ran it before were lost: it may crash servers";
    case TR_CAUSE_LEASE_LOST:
      return "the entry daemon lost its right to use the server";
    case TR_CAUSE_CALLER:
      return "the caller left, or made a mistake";
    case TR_CAUSE_OTHER:
      return "the entry daemon refused it for the reason of its line";
    case TR_CAUSE_NONE:
      return "it was answered";
    }
  return "";
}

struct word
{
  const char *text;
  enum tr_cause_kind kind;
};

/* The ends of attempts; see st_attempt_end_name.  */
static const struct word ends[] = {
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
static const struct word reasons[] = {
  { "queue-full", TR_CAUSE_OVERLOAD },
  { "no-capacity-in-time", TR_CAUSE_OVERLOAD },
  { "deadline", TR_CAUSE_OVERLOAD },
  { "link-full", TR_CAUSE_LINK_FULL },
  { "no-server", TR_CAUSE_NO_SERVER },
  { "no-server-in-time", TR_CAUSE_NO_SERVER },
  { "server-full", TR_CAUSE_SERVER_REFUSED },
  { "crashes-servers", TR_CAUSE_CRASHES },
  { "poison", TR_CAUSE_CRASHES },
  { "caller-left", TR_CAUSE_CALLER },
  { "unknown-path", TR_CAUSE_CALLER },
  { "unknown-service", TR_CAUSE_CALLER },
  { "key-required", TR_CAUSE_CALLER },
  { "bad-key", TR_CAUSE_CALLER },
  { "key-taken", TR_CAUSE_CALLER },
  { "body-too-large", TR_CAUSE_CALLER },
  { "bad-header", TR_CAUSE_CALLER },
  { NULL, TR_CAUSE_OTHER },
};

static enum tr_cause_kind
find_word (const struct word *words, struct zp_str text)
{
  while (words->text && !zp_str_eq (text, zp_str_from (words->text)))
    words++;
  return words->kind;
}

static bool
near (const struct tr_line *a, const struct tr_line *b)
{
  return a->at - b->at <= TR_NEAR && b->at - a->at <= TR_NEAR;
}

/* Whether X says that its server is not there.  */
static bool
tells_loss (const struct tr_line *x)
{
  return zp_str_eq (x->text, ZP_STR ("a server is gone"))
         || zp_str_eq (x->text, ZP_STR ("another server is at the address"))
         || zp_str_eq (tr_line_text (x, ZP_KEY_STATE), ZP_STR ("gone"))
         || zp_str_eq (tr_line_text (x, ZP_KEY_END),
                       ZP_STR ("connection-refused"));
}

/* Fills what other lines near the decision say of the server.  */
static void
look_around (const struct tr_log *l, struct tr_cause *c)
{
  struct zp_str service = tr_line_text (c->decision, ZP_KEY_SERVICE);

  for (size_t i = 0; i < l->lines; i++)
    {
      const struct tr_line *x = &l->line[i];
      if (!near (x, c->decision))
        continue;
      bool same = zp_str_eq (tr_line_text (x, ZP_KEY_SERVER), c->server);
      if (same && !c->evidence && tells_loss (x))
        c->evidence = x;
      if (!zp_str_eq (x->text, ZP_STR (ATTEMPT))
          || !zp_str_eq (tr_line_text (x, ZP_KEY_SERVICE), service))
        continue;
      struct tr_attempts *a = same ? &c->here : &c->elsewhere;
      a->all++;
      a->failed
          += find_word (ends, tr_line_text (x, ZP_KEY_END)) != TR_CAUSE_NONE;
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
    c.kind = find_word (ends, tr_line_text (attempt, ZP_KEY_END));
  else
    c.kind = find_word (reasons, tr_line_text (c.decision, ZP_KEY_REASON));
  c.server = attempt ? tr_line_text (attempt, ZP_KEY_SERVER)
                     : tr_line_text (c.decision, ZP_KEY_BEST_SERVER);
  look_around (l, &c);
  if (c.kind == TR_CAUSE_ANSWER_LOST && c.evidence)
    c.kind = TR_CAUSE_SERVER_LOST;
  return c;
}

bool
tr_line_about (const struct tr_line *x, struct zp_str name)
{
  static const enum zp_field_key names[]
      = { ZP_KEY_REQUEST,     ZP_KEY_SERVICE, ZP_KEY_SERVER,
          ZP_KEY_BEST_SERVER, ZP_KEY_DAEMON,  ZP_KEY_FAILURE_DOMAIN,
          ZP_KEY_TICKET,      ZP_KEY_ADDRESS };
  uint64_t number;

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (zp_str_eq (tr_line_text (x, names[i]), name))
      return name.len > 0;
  /* Lines of requests have a configuration too; they are not about it.  */
  return zp_str_u64 (name, &number)
         && tr_line_text (x, ZP_KEY_REQUEST).len == 0
         && tr_line_number (x, ZP_KEY_CONFIGURATION, -1) == (int64_t) number;
}
