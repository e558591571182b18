#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "gate/gate.h"
#include "ticket/blob.h"

#define PART "config"

/* Maximum bytes of a document; control daemons accept no longer one.  */
#define DOCUMENT_MAX ((size_t) 4 * 1024 * 1024)

/* Service time that is assumed until the first one is measured.  */
#define INITIAL_SERVICE_TIME (300 * ZP_MS)

/* Maximum number of queued requests of one service.  */
#define QUEUE_MAX 512

/* Services.  */

static struct gt_service *
service_new (struct gt_gate *g, struct zp_str name)
{
  struct gt_service *s = zp_alloc (sizeof *s);

  zp_str_copy (s->name, sizeof s->name, name);
  s->queue = st_queue_new (QUEUE_MAX, INITIAL_SERVICE_TIME);
  st_budget_init (&s->budget, &g->retry_terms);
  return s;
}

static void
add_counters (struct gt_service *s)
{
  char labels[ZP_NAME_MAX + 16];

  snprintf (labels, sizeof labels, "service=\"%s\"", s->name);
  s->requests = zp_counter ("zp_requests_total", labels);
  s->answered = zp_counter ("zp_answered_total", labels);
  s->refused_not_run = zp_counter ("zp_refused_not_run_total", labels);
  s->refused_may_have_run
      = zp_counter ("zp_refused_may_have_run_total", labels);
  s->retries = zp_counter ("zp_retries_total", labels);
  zp_histogram_init (&s->answer_time, "zp_answer_seconds", labels);
  zp_histogram_init (&s->server_time, "zp_server_seconds", labels);
}

static struct gt_service *
find_service (const struct gt_gate *g, struct zp_str name)
{
  for (size_t i = 0; i < g->services; i++)
    if (zp_str_eq (zp_str_from (g->service[i]->name), name))
      return g->service[i];
  return NULL;
}

struct gt_service *
gt_service_get (struct gt_gate *g, struct zp_str name)
{
  struct gt_service *s = find_service (g, name);

  if (s)
    return s;
  s = service_new (g, name);
  add_counters (s);
  g->service = zp_realloc (g->service, (g->services + 1) * sizeof (void *));
  return g->service[g->services++] = s;
}

struct gt_service *
gt_service_find (struct gt_gate *g, struct zp_str name)
{
  struct gt_service *s = find_service (g, name);

  if (s)
    return s;
  if (!g->unnamed)
    g->unnamed = service_new (g, ZP_STR (""));
  return g->unnamed;
}

static void
service_free (struct gt_service *s)
{
  if (!s)
    return;
  st_queue_free (s->queue);
  free (s);
}

/* The site in force.  */

static void
discard_site (struct gt_gate *g)
{
  for (size_t i = 0; g->site && i < g->site->routes; i++)
    free (g->split_credit[i]);
  free (g->split_credit);
  g->split_credit = NULL;
  si_site_free (g->site);
  g->site = NULL;
}

static void
apply_site (struct gt_gate *g, struct si_site *site, uint64_t version)
{
  discard_site (g);
  g->site = site;
  g->split_credit = zp_alloc (site->routes * sizeof (int64_t *));
  for (size_t i = 0; i < site->routes; i++)
    g->split_credit[i] = zp_alloc (site->route[i].parts * sizeof (int64_t));
  for (size_t i = 0; i < g->services; i++)
    g->service[i]->settings
        = si_site_service (site, zp_str_from (g->service[i]->name));
  for (size_t i = 0; i < site->services; i++)
    {
      struct zp_str name = zp_str_of (&site->service[i].name);
      gt_service_get (g, name)->settings = &site->service[i];
    }
  gt_server_note_services (g);
  gt_owner_update_all (g);
  gt_quotas_apply (g);
  ZP_EVENT (ZP_LOG_NOTICE, PART, "a configuration is in force",
            ZP_F_INT (ZP_KEY_CONFIGURATION, site->number),
            ZP_F_INT (ZP_KEY_VERSION, version),
            ZP_F_INT (ZP_KEY_ROUTES, site->routes));
}

/* The routing document of C, or NULL.  */
static const struct ti_document *
find_document (const struct ti_config *c)
{
  struct ti_key key = { .kind = TI_DOCUMENT };

  ti_text_set (&key.name, ZP_STR (TI_ROUTES));
  const struct ti_object *o = ti_config_find (c, &key);
  return o ? &o->u.document : NULL;
}

/* Applies the document D.  The site in force stays when D cannot be read.  */
static void
read_document (struct gt_gate *g, const struct ti_document *d,
               uint64_t version)
{
  struct zp_buf text = { .ptr = NULL };
  struct zp_err err = { .text = "damaged" };
  struct si_site *site = NULL;

  if (ti_blob_decompress (&d->body, &text, DOCUMENT_MAX))
    site = g->interface->decode (zp_str_of (&text), &err);
  zp_buf_free (&text);
  if (site)
    apply_site (g, site, version);
  else
    ZP_EVENT (ZP_LOG_ERR, PART, "a configuration cannot be used",
              ZP_F_INT (ZP_KEY_CONFIGURATION, d->number),
              ZP_F_INT (ZP_KEY_VERSION, version),
              ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (err.text)));
}

/* Evacuations.  An evacuated failure domain is one with a drain in the
   configuration.  */

static bool
is_evacuated (const struct ti_config *c, const char *failure_domain)
{
  struct ti_key key = { .kind = TI_DRAIN };

  if (!c || !ti_text_set (&key.name, zp_str_from (failure_domain)))
    return false;
  const struct ti_object *o = ti_config_find (c, &key);
  return o && o->u.drain.target.kind == TI_TARGET_FAILURE_DOMAIN;
}

bool
gt_config_is_evacuated (const struct gt_gate *g, const char *failure_domain)
{
  return is_evacuated (g->config, failure_domain);
}

/* Marks the servers of failure domains cold whose evacuation has ended.  They
   can have become cold shortly before; their own reports of that arrive up to
   one report period later.  */
static void
mark_returned_cold (struct gt_gate *g, const struct ti_config *old)
{
  const struct ti_slot *slot;

  for (size_t at = 0; old && (slot = ti_config_next (old, TI_DRAIN, &at));)
    {
      char name[ZP_NAME_MAX];
      zp_str_copy (name, sizeof name, ti_text_str (&slot->key.name));
      if (!is_evacuated (g->config, name))
        gt_domain_mark_cold (g, name, zp_clock_mono ());
    }
}

/* Logs TEXT for each failure domain that is evacuated in A and not in B.  */
static void
log_evacuations (const struct ti_config *a, const struct ti_config *b,
                 const char *text, uint64_t version)
{
  const struct ti_slot *slot;

  for (size_t at = 0; a && (slot = ti_config_next (a, TI_DRAIN, &at));)
    {
      char name[ZP_NAME_MAX];
      zp_str_copy (name, sizeof name, ti_text_str (&slot->key.name));
      if (is_evacuated (a, name) && !is_evacuated (b, name))
        ZP_EVENT (ZP_LOG_NOTICE, PART, text,
                  ZP_F_TEXT (ZP_KEY_FAILURE_DOMAIN, zp_str_from (name)),
                  ZP_F_INT (ZP_KEY_VERSION, version));
    }
}

static size_t
count_drains (const struct ti_config *c)
{
  size_t n = 0;

  for (size_t at = 0; c && ti_config_next (c, TI_DRAIN, &at);)
    n++;
  return n;
}

/* Configurations.  */

void
gt_config_apply (struct gt_gate *g, const struct tk_config *c)
{
  struct zp_err err;
  struct ti_config *next = ti_config_from_update (g->config, c->whole,
                                                  zp_str_of (&c->bytes), &err);

  if (!next)
    {
      ZP_EVENT (ZP_LOG_ERR, PART,
                "a change of the configuration cannot be applied",
                ZP_F_INT (ZP_KEY_VERSION, c->version),
                ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (err.text)));
      return;
    }
  struct ti_config *old = g->config;
  g->config = next;
  const struct ti_document *d = find_document (next);
  if (d && (!g->site || d->number > g->site->number))
    read_document (g, d, c->version);
  gt_server_note_evacuations (g);
  mark_returned_cold (g, old);
  log_evacuations (old, next, "the evacuation of a failure domain has ended",
                   c->version);
  log_evacuations (next, old, "a failure domain is evacuated", c->version);
  /* An evacuation takes servers out of use, like a loss.  */
  if (count_drains (next) > count_drains (old))
    gt_server_note_loss (g);
  ti_config_free (old);
}

void
gt_config_free (struct gt_gate *g)
{
  discard_site (g);
  ti_config_free (g->config);
  for (size_t i = 0; i < g->services; i++)
    service_free (g->service[i]);
  service_free (g->unnamed);
  free (g->service);
}
