/* Tests how the gate treats the keys of workspaces.  */

#include "gate-fixture.h"

#include <fcntl.h>

#include "base/log.h"

/* Adds the regions of LIST, one character each, to R or W.  */
static void
add_homes (struct si_route *r, struct si_workspace *w, struct zp_str list)
{
  for (size_t i = 0; i < list.len; i++)
    {
      struct zp_str region = { .ptr = list.ptr + i, .len = 1 };
      if (r)
        si_route_add_home (r, region);
      else
        si_workspace_add_home (w, region);
    }
}

/* "NAME:KEY+KEY:PRIORITY:HOMES"; an empty priority: none.  */
static void
add_workspace (struct si_site *s, struct zp_str text)
{
  struct zp_str name, keys, key, priority, homes;
  struct si_workspace w = { .rate_per_s = 0 };
  uint64_t n = 0;

  zp_str_split (text, ':', &name, &keys);
  zp_str_split (keys, ':', &keys, &priority);
  zp_str_split (priority, ':', &priority, &homes);
  w.name = zp_buf_from (name);
  w.has_priority = zp_str_u64 (priority, &n);
  w.priority = (unsigned) n;
  add_homes (NULL, &w, homes);
  si_site_add_workspace (s, &w);
  while (keys.len > 0)
    {
      zp_str_split (keys, '+', &key, &keys);
      si_site_add_key (s, key);
    }
}

static void
add_route (struct si_site *s, const char *prefix, bool is_public,
           struct zp_str homes)
{
  struct si_route r = { .host = zp_buf_from (ZP_STR ("h")),
                        .prefix = zp_buf_from (zp_str_from (prefix)),
                        .timeout = 2 * ZP_SEC,
                        .objective = 400 * ZP_MS,
                        .priority = 2,
                        .is_public = is_public,
                        .attempts = 1 };

  si_route_add_part (&r, ZP_STR ("svc"), 1);
  add_homes (&r, NULL, homes);
  si_site_add_route (s, &r);
}

/* A document of this test is "NUMBER HOMES WORKSPACE...".  It has a route "/"
   with these homes and a public route "/open/".  "-" stands for no homes, and as
   the only workspace for an empty list; without workspaces, no key is needed.  */
static struct si_site *
decode_workspaces (struct zp_str text, struct zp_err *err)
{
  struct zp_str number, homes, list, one;
  uint64_t n = 0;

  zp_str_split (text, ' ', &number, &homes);
  zp_str_split (homes, ' ', &homes, &list);
  zp_str_u64 (number, &n);
  struct si_site *s = si_site_new (n);
  struct si_service v = { .name = zp_buf_from (ZP_STR ("svc")) };
  si_site_add_service (s, &v);
  add_route (s, "/", false,
             zp_str_eq (homes, ZP_STR ("-")) ? ZP_STR ("") : homes);
  add_route (s, "/open/", true, ZP_STR (""));
  s->needs_key = list.len > 0;
  while (list.len > 0)
    {
      zp_str_split (list, ' ', &one, &list);
      if (!zp_str_eq (one, ZP_STR ("-")))
        add_workspace (s, one);
    }
  if (si_site_seal (s, err))
    return s;
  si_site_free (s);
  return NULL;
}

static const struct gt_interface with_workspaces
    = { .names = &fr_header_names_default, .decode = decode_workspaces };

static uint64_t requests;

/* Sends a request; KEY can be NULL.  Returns its id.  */
static uint64_t
send_with_key (const char *path, const char *key)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_REQUEST);
  struct tk_http_request *r = &m->u.request;

  r->id = ++requests;
  r->from = &f.front;
  r->host = zp_buf_from (ZP_STR ("h"));
  r->method = zp_buf_from (ZP_STR ("GET"));
  r->path = zp_buf_from (zp_str_from (path));
  r->headers = zp_buf_from (ZP_STR ("X-Partner: mend\n"));
  if (key)
    r->credential = zp_buf_from (zp_str_from (key));
  zp_buf_printf (&r->request_id, "r-%llu", (unsigned long long) requests);
  r->deadline = zp_clock_mono () + 2 * ZP_SEC;
  tk_send (&f.gate->task, m);
  run_pending ();
  return requests;
}

/* Opens the gate with a server in REGION and with DOCUMENT, if there is one.  */
static void
open_gate (const char *document, char region)
{
  set_up (NULL);
  f.gate->interface = &with_workspaces;
  if (document)
    put_document (document, strtoull (document, NULL, 10));
  struct tk_msg *m = tk_msg_new (TK_SERVER);
  m->u.server = (struct tk_server){ .id = "i-1",
                                    .service = "svc",
                                    .address = "10.0.0.1:80",
                                    .slots = 40,
                                    .state = TK_SERVER_READY,
                                    .born_ms = 1000,
                                    .seq = 1 };
  snprintf (m->u.server.failure_domain, sizeof m->u.server.failure_domain,
            "%c-1", region);
  tk_send (&f.gate->task, m);
  run_pending ();
}

/* The request of the last message to the forward task.  */
static const struct gt_request *
last_sent (void)
{
  CU_ASSERT_FATAL (f.sends > 0);
  const struct gt_request *q
      = zp_slots_get (&f.gate->requests, f.sent[f.sends - 1]->u.forward.id);
  CU_ASSERT_PTR_NOT_NULL_FATAL (q);
  return q;
}

static struct zp_str
last_workspace (void)
{
  CU_ASSERT_FATAL (f.sends > 0);
  return zp_str_of (&f.sent[f.sends - 1]->u.forward.workspace);
}

/* Whether a request with KEY on PATH is sent to the server.  */
static bool
is_sent (const char *path, const char *key)
{
  size_t sends = f.sends;

  send_with_key (path, key);
  return f.sends == sends + 1;
}

/* Whether a request with KEY is refused with STATUS and REASON, not run.  */
static bool
is_refused (const char *path, const char *key, unsigned status,
            const char *reason)
{
  size_t sends = f.sends, answers = f.answers;
  char text[64];

  uint64_t id = send_with_key (path, key);
  if (f.sends != sends || f.answers != answers + 1)
    return false;
  const struct tk_http_answer *a = &f.answer[answers]->u.answer;
  snprintf (text, sizeof text, "{\"reason\":\"%s\",\"verdict\":\"not-run\"}\n",
            reason);
  return a->id == id && a->status == status && a->has_verdict
         && a->verdict == ZP_NOT_RUN
         && zp_str_eq (zp_str_of (&a->body), zp_str_from (text))
         && zp_str_eq (zp_str_of (&a->content_type),
                       ZP_STR ("application/json"));
}

/* Guards against a server that gets another workspace than that of the key, or
   the key itself, and against a key that stays in memory.  */
static void
test_workspace_of_the_key (void)
{
  open_gate ("7 - acme:k-acme+k-other:: beta:k-beta::", 'a');
  CU_ASSERT (is_sent ("/x", "k-acme"));
  CU_ASSERT (zp_str_eq (last_workspace (), ZP_STR ("acme")));
  const struct gt_request *q = last_sent ();
  CU_ASSERT_EQUAL (q->workspace_hash, zp_str_hash (ZP_STR ("acme"), 0));
  CU_ASSERT_PTR_NULL (q->msg->u.request.credential.ptr);
  CU_ASSERT (zp_str_eq (zp_str_of (&f.sent[0]->u.forward.headers),
                        ZP_STR ("X-Partner: mend\n")));
  CU_ASSERT (is_sent ("/x", "k-beta"));
  CU_ASSERT (zp_str_eq (last_workspace (), ZP_STR ("beta")));
  CU_ASSERT (is_sent ("/x", "k-other"));
  CU_ASSERT (zp_str_eq (last_workspace (), ZP_STR ("acme")));
  tear_down ();
}

/* Guards against requests that are served without a valid key.  */
static void
test_refused_keys (void)
{
  open_gate ("7 - acme:k-acme:: none:::", 'a');
  CU_ASSERT (is_refused ("/x", NULL, 401, "no-key"));
  CU_ASSERT (is_refused ("/x", "", 401, "no-key"));
  CU_ASSERT (is_refused ("/x", "k-beta", 401, "unknown-key"));
  CU_ASSERT (is_refused ("/x", "k-acm", 401, "unknown-key"));
  CU_ASSERT (is_refused ("/x", "k-acme ", 401, "unknown-key"));
  CU_ASSERT (is_refused ("/x", "K-ACME", 401, "unknown-key"));
  CU_ASSERT (is_refused ("/x", "acme", 401, "unknown-key"));
  CU_ASSERT (is_refused ("/x", "none", 401, "unknown-key"));
  CU_ASSERT (is_refused ("x", "k-acme", 404, "no-route"));
  tear_down ();
  /* An empty list of workspaces.  */
  open_gate ("7 - -", 'a');
  CU_ASSERT (is_refused ("/x", NULL, 401, "no-key"));
  CU_ASSERT (is_refused ("/x", "k-acme", 401, "unknown-key"));
  tear_down ();
}

/* Guards against a 401 of a daemon that knows no keys yet: the caller would
   take its key for an invalid one.  */
static void
test_no_configuration (void)
{
  open_gate (NULL, 'a');
  CU_ASSERT (is_refused ("/x", "k-acme", 503, "no-configuration"));
  CU_ASSERT (is_refused ("/x", NULL, 503, "no-configuration"));
  tear_down ();
}

/* Guards against public routes that need a key or have a workspace, and against
   sites without workspaces that need one.  */
static void
test_no_key_needed (void)
{
  static const char *const keys[] = { NULL, "k-acme", "k-beta" };

  open_gate ("7 - acme:k-acme:0:b", 'a');
  for (size_t i = 0; i < 3; i++)
    {
      CU_ASSERT (is_sent ("/open/x", keys[i]));
      CU_ASSERT_EQUAL (last_workspace ().len, 0);
      CU_ASSERT_EQUAL (last_sent ()->workspace_hash, 0);
      CU_ASSERT_EQUAL (last_sent ()->priority, 2);
      CU_ASSERT_PTR_NULL (last_sent ()->msg->u.request.credential.ptr);
    }
  put_document ("8 -", 8);
  for (size_t i = 0; i < 3; i++)
    {
      CU_ASSERT (is_sent ("/x", keys[i]));
      CU_ASSERT_EQUAL (last_workspace ().len, 0);
    }
  tear_down ();
}

/* Guards against a key that works after its removal, and against a removal that
   ends requests of other keys or earlier ones.  */
static void
test_removed_key (void)
{
  open_gate ("7 - acme:k-1+k-2:: beta:k-3::", 'a');
  CU_ASSERT (is_sent ("/x", "k-1"));
  put_document ("8 - acme:k-2:: beta:k-3::", 8);
  CU_ASSERT (is_refused ("/x", "k-1", 401, "unknown-key"));
  CU_ASSERT (is_sent ("/x", "k-2"));
  put_document ("9 - acme::: beta:k-3+k-1::", 9);
  CU_ASSERT (is_refused ("/x", "k-2", 401, "unknown-key"));
  CU_ASSERT (is_sent ("/x", "k-1"));
  CU_ASSERT (zp_str_eq (last_workspace (), ZP_STR ("beta")));
  /* An unusable configuration changes nothing.  */
  put_document ("10 - acme:k-4:: acme:k-5::", 10);
  CU_ASSERT (is_refused ("/x", "k-4", 401, "unknown-key"));
  CU_ASSERT (is_sent ("/x", "k-1"));
  size_t answers = f.answers;
  end_attempt (0, TK_END_ANSWER, 200, ZP_RAN, true);
  run_pending ();
  CU_ASSERT_EQUAL_FATAL (f.answers, answers + 1);
  CU_ASSERT_EQUAL (answer_status (answers), 200);
  tear_down ();
}

/* Guards against a request with the priority of its route in place of that of
   its workspace.  */
static void
test_priority (void)
{
  open_gate ("7 - urgent:k-1:0: low:k-2:1000: none:k-3::", 'a');
  CU_ASSERT (is_sent ("/x", "k-1"));
  CU_ASSERT_EQUAL (last_sent ()->priority, 0);
  CU_ASSERT (is_sent ("/x", "k-2"));
  CU_ASSERT_EQUAL (last_sent ()->priority, ST_QUEUE_CLASSES - 1);
  CU_ASSERT (is_sent ("/x", "k-3"));
  CU_ASSERT_EQUAL (last_sent ()->priority, 2);
  tear_down ();
}

/* Guards against a request that runs outside the homes of its route or of its
   workspace, in particular anywhere when they have no region in common.  */
static void
test_home_regions (void)
{
  static const char *const homes[] = { "", "a", "b", "ab", "bc", "abc", "x" };
  const size_t n = sizeof homes / sizeof homes[0];

  for (size_t i = 0; i < n * n * 3; i++)
    {
      const char *route = homes[i / n % n], *workspace = homes[i % n];
      char region = (char) ('a' + i / n / n), document[64];
      bool allowed = (!route[0] || strchr (route, region))
                     && (!workspace[0] || strchr (workspace, region));
      snprintf (document, sizeof document, "7 %s acme:k-1::%s",
                route[0] ? route : "-", workspace);
      open_gate (document, region);
      bool ok = allowed ? is_sent ("/x", "k-1")
                        : is_refused ("/x", "k-1", 503, "no-server");
      if (!ok)
        {
          printf ("server in %c: %s\n", region, document);
          CU_FAIL ("homes are not kept");
        }
      tear_down ();
    }
}

/* Guards against a key in the log, and against lines that do not say whose
   request it was.  */
static void
test_log_has_no_key (void)
{
  static char text[65536];
  int fd[2];

  CU_ASSERT_FATAL (pipe2 (fd, O_NONBLOCK | O_CLOEXEC) == 0);
  zp_log_open ("test", ZP_LOG_DEBUG, fd[1]);
  open_gate ("7 - acme:k-secret::x beta:k-hidden::", 'a');
  CU_ASSERT (is_refused ("/x", "k-secret", 503, "no-server"));
  CU_ASSERT (is_refused ("/x", "k-wrong", 401, "unknown-key"));
  CU_ASSERT (is_refused ("x", "k-secret", 404, "no-route"));
  CU_ASSERT (is_sent ("/x", "k-hidden"));
  end_attempt (0, TK_END_LOST, 0, ZP_MAY_HAVE_RUN, false);
  put_document ("8 - acme:k-secret:: beta:k-secret::", 8);
  run_pending ();
  tear_down ();
  ssize_t got = read (fd[0], text, sizeof text - 1);
  CU_ASSERT_FATAL (got > 0);
  CU_ASSERT (HAS_TEXT (text, "\"workspace\":\"acme\""));
  CU_ASSERT (HAS_TEXT (text, "\"workspace\":\"beta\""));
  CU_ASSERT (HAS_TEXT (text, "a request has no valid key"));
  CU_ASSERT (HAS_TEXT (text, "have the same key"));
  CU_ASSERT (!HAS_TEXT (text, "k-secret"));
  CU_ASSERT (!HAS_TEXT (text, "k-wrong"));
  CU_ASSERT (!HAS_TEXT (text, "k-hidden"));
  zp_log_open ("test", ZP_LOG_INFO, STDERR_FILENO);
  close (fd[0]);
  close (fd[1]);
}

static const struct zp_test tests[]
    = { { "the workspace of the key", test_workspace_of_the_key },
        { "refused keys", test_refused_keys },
        { "no configuration", test_no_configuration },
        { "no key needed", test_no_key_needed },
        { "a removed key", test_removed_key },
        { "priority", test_priority },
        { "home regions", test_home_regions },
        { "the log has no key", test_log_has_no_key } };

TEST_MAIN ("gate-workspaces", tests)
