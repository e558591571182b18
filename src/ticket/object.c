#include "ticket/object.h"

#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Field tables.  */

#define FIELD_OFFSET(kind_field) offsetof (struct ti_object, u.kind_field)

static const struct ti_field service_fields[] = {
  { .key = "class",
    .kind = TI_FIELD_CLASS,
    .offset = FIELD_OFFSET (service.class) },
  { .key = "priority",
    .kind = TI_FIELD_INT,
    .offset = FIELD_OFFSET (service.priority),
    .max = 3 },
  { .key = "deadline_ms",
    .kind = TI_FIELD_INT,
    .offset = FIELD_OFFSET (service.deadline_ms),
    .min = 1,
    .max = ZP_DEADLINE_MAX / ZP_MS },
  { .key = "queue_max",
    .kind = TI_FIELD_INT,
    .offset = FIELD_OFFSET (service.queue_max),
    .max = 100000 },
  { .key = "public",
    .kind = TI_FIELD_BOOL,
    .offset = FIELD_OFFSET (service.public),
    .optional = true },
  { .key = NULL },
};

static const struct ti_field region_fields[] = {
  { .key = "latency_ms",
    .kind = TI_FIELD_LATENCIES,
    .offset = FIELD_OFFSET (region.latency_ms),
    .ref = TI_REGION,
    .max = TI_LATENCIES_MAX },
  { .key = NULL },
};

static const struct ti_field failure_domain_fields[] = {
  { .key = "region",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (failure_domain.region),
    .ref = TI_REGION },
  { .key = "entry_networks",
    .kind = TI_FIELD_PREFIXES,
    .offset = FIELD_OFFSET (failure_domain.entry_networks),
    .max = TI_NETWORKS_MAX },
  { .key = NULL },
};

static const struct ti_field link_fields[] = {
  { .key = "a",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (link.a),
    .ref = TI_REGION },
  { .key = "b",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (link.b),
    .ref = TI_REGION },
  { .key = "mbit_per_s",
    .kind = TI_FIELD_INT,
    .offset = FIELD_OFFSET (link.mbit_per_s),
    .min = 1,
    .max = 10000000 },
  { .key = NULL },
};

static const struct ti_field site_fields[] = {
  { .key = "failure_domain",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (site.failure_domain),
    .ref = TI_FAILURE_DOMAIN },
  { .key = NULL },
};

static const struct ti_field entry_fields[] = {
  { .key = "failure_domain",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (entry.failure_domain),
    .ref = TI_FAILURE_DOMAIN },
  { .key = "address",
    .kind = TI_FIELD_ADDRESS,
    .offset = FIELD_OFFSET (entry.address) },
  { .key = "enabled",
    .kind = TI_FIELD_BOOL,
    .offset = FIELD_OFFSET (entry.enabled) },
  { .key = NULL },
};

static const struct ti_field limits_fields[] = {
  { .key = "service",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (limits.service),
    .ref = TI_SERVICE },
  { .key = "region",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (limits.region),
    .ref = TI_REGION },
  { .key = "max_in_flight",
    .kind = TI_FIELD_INT,
    .offset = FIELD_OFFSET (limits.max_in_flight),
    .max = 10000000 },
  { .key = NULL },
};

static const struct ti_field drain_fields[] = {
  { .key = "target",
    .kind = TI_FIELD_TARGET,
    .offset = FIELD_OFFSET (drain.target) },
  { .key = NULL },
};

static const struct ti_field shift_fields[] = {
  { .key = "from",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (shift.from),
    .ref = TI_SITE },
  { .key = "to",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (shift.to),
    .ref = TI_SITE },
  { .key = "share",
    .kind = TI_FIELD_SHARE,
    .offset = FIELD_OFFSET (shift.share),
    .max = TI_SHARE_ONE },
  /* With a cap of 0 the shift would never reach its share.  */
  { .key = "cap_per_minute",
    .kind = TI_FIELD_SHARE,
    .offset = FIELD_OFFSET (shift.cap_per_minute),
    .min = 1,
    .max = TI_SHARE_ONE },
  { .key = NULL },
};

static const struct ti_field blocks_fields[] = {
  { .key = "site",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (blocks.site),
    .ref = TI_SITE },
  { .key = "prefixes",
    .kind = TI_FIELD_PREFIXES,
    .offset = FIELD_OFFSET (blocks.prefixes),
    .min = 1,
    .max = TI_PREFIXES_MAX },
  { .key = NULL },
};

static const struct ti_field control_fields[] = {
  { .key = "address",
    .kind = TI_FIELD_ADDRESS,
    .offset = FIELD_OFFSET (control.address) },
  { .key = "http",
    .kind = TI_FIELD_ADDRESS,
    .offset = FIELD_OFFSET (control.http) },
  { .key = "failure_domain",
    .kind = TI_FIELD_REF,
    .offset = FIELD_OFFSET (control.failure_domain),
    .ref = TI_FAILURE_DOMAIN },
  { .key = "role",
    .kind = TI_FIELD_ROLE,
    .offset = FIELD_OFFSET (control.role) },
  { .key = NULL },
};

static const struct ti_field document_fields[] = {
  { .key = "number",
    .kind = TI_FIELD_NUMBER,
    .offset = FIELD_OFFSET (document.number) },
  { .key = "body",
    .kind = TI_FIELD_BLOB,
    .offset = FIELD_OFFSET (document.body) },
  { .key = NULL },
};

static const struct ti_field workspace_fields[] = {
  { .key = "keys",
    .kind = TI_FIELD_SECRETS,
    .offset = FIELD_OFFSET (workspace.keys),
    .min = 1,
    .max = TI_WORKSPACE_KEYS_MAX },
  { .key = "rate_per_s",
    .kind = TI_FIELD_RATE,
    .offset = FIELD_OFFSET (workspace.rate_per_s),
    .max = TI_RATE_MAX,
    .optional = true },
  { .key = "burst",
    .kind = TI_FIELD_RATE,
    .offset = FIELD_OFFSET (workspace.burst),
    .max = TI_RATE_MAX,
    .optional = true },
  { .key = "priority",
    .kind = TI_FIELD_OPTIONAL_INT,
    .offset = FIELD_OFFSET (workspace.priority),
    .max = 3,
    .optional = true },
  /* An empty list could be read as "no region"; without the field, all regions
     serve the workspace.  */
  { .key = "home_regions",
    .kind = TI_FIELD_REFS,
    .offset = FIELD_OFFSET (workspace.home_regions),
    .ref = TI_REGION,
    .min = 1,
    .max = TI_HOME_REGIONS_MAX,
    .optional = true },
  { .key = NULL },
};

static const struct
{
  const char *name;
  const struct ti_field *fields;
} kinds[TI_KIND_COUNT] = {
  [TI_SERVICE] = { "service", service_fields },
  [TI_REGION] = { "region", region_fields },
  [TI_FAILURE_DOMAIN] = { "failure_domain", failure_domain_fields },
  [TI_LINK] = { "link", link_fields },
  [TI_SITE] = { "site", site_fields },
  [TI_ENTRY] = { "entry", entry_fields },
  [TI_LIMITS] = { "limits", limits_fields },
  [TI_DRAIN] = { "drain", drain_fields },
  [TI_SHIFT] = { "shift", shift_fields },
  [TI_BLOCKS] = { "blocks", blocks_fields },
  [TI_CONTROL] = { "control", control_fields },
  [TI_DOCUMENT] = { "document", document_fields },
  [TI_WORKSPACE] = { "workspace", workspace_fields },
};

const struct ti_field *
ti_fields (enum ti_kind kind)
{
  assert (kind < TI_KIND_COUNT);
  return kinds[kind].fields;
}

const char *
ti_kind_name (enum ti_kind kind)
{
  assert (kind < TI_KIND_COUNT);
  return kinds[kind].name;
}

bool
ti_kind_parse (struct zp_str text, enum ti_kind *out)
{
  for (enum ti_kind k = 0; k < TI_KIND_COUNT; k++)
    if (zp_str_eq (text, zp_str_from (kinds[k].name)))
      {
        *out = k;
        return true;
      }
  return false;
}

/* Strings and keys.  */

struct zp_str
ti_text_str (const struct ti_text *t)
{
  return (struct zp_str){ .ptr = t->bytes, .len = t->len };
}

bool
ti_text_set (struct ti_text *t, struct zp_str s)
{
  *t = (struct ti_text){ .len = 0 };
  if (s.len > sizeof t->bytes)
    return false;
  if (s.len > 0)
    memcpy (t->bytes, s.ptr, s.len);
  t->len = (uint8_t) s.len;
  return true;
}

bool
ti_text_eq (const struct ti_text *a, const struct ti_text *b)
{
  return zp_str_eq (ti_text_str (a), ti_text_str (b));
}

int
ti_text_cmp (const struct ti_text *a, const struct ti_text *b)
{
  return zp_str_cmp (ti_text_str (a), ti_text_str (b));
}

static bool
name_char (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool
ti_name_parse (struct zp_str text, struct ti_text *out)
{
  for (size_t i = 0; i < text.len; i++)
    if (!name_char (text.ptr[i]))
      return false;
  return text.len > 0 && ti_text_set (out, text);
}

bool
ti_key_parse (struct zp_str text, struct ti_key *out, struct zp_err *err)
{
  struct zp_str kind, name;

  if (!zp_str_split (text, '/', &kind, &name))
    return zp_fail (err, ZP_EINVAL, "%.*s: not of the form KIND/NAME",
                    ZP_ARG (text));
  if (!ti_kind_parse (kind, &out->kind))
    return zp_fail (err, ZP_EINVAL,
                    "%.*s: unknown kind \"%.*s\", allowed: service, region, "
                    "failure_domain, link, site, entry, limits, drain, "
                    "shift, blocks, control, document, workspace",
                    ZP_ARG (text), ZP_ARG (kind));
  if (!ti_name_parse (name, &out->name))
    return zp_fail (err, ZP_EINVAL,
                    "%.*s: found name \"%.*s\", allowed: 1 to %d letters, "
                    "digits, \".\", \"_\" and \"-\"",
                    ZP_ARG (text), ZP_ARG (name), ZP_NAME_MAX - 1);
  return true;
}

void
ti_key_print (const struct ti_key *key, struct zp_buf *out)
{
  zp_buf_printf (out, "%s/%.*s", TI_KEY_ARG (key));
}

int
ti_key_cmp (const struct ti_key *a, const struct ti_key *b)
{
  if (a->kind != b->kind)
    return a->kind < b->kind ? -1 : 1;
  return ti_text_cmp (&a->name, &b->name);
}

const char *
ti_class_name (enum ti_class c)
{
  switch (c)
    {
    case TI_CLASS_IDEMPOTENT:
      return "idempotent";
    case TI_CLASS_ONCE:
      return "once";
    }
  return "";
}

const char *
ti_role_name (enum ti_role r)
{
  switch (r)
    {
    case TI_ROLE_VOTER:
      return "voter";
    case TI_ROLE_LEARNER:
      return "learner";
    }
  return "";
}

const char *
ti_target_kind_name (enum ti_target_kind k)
{
  switch (k)
    {
    case TI_TARGET_SERVER:
      return "server";
    case TI_TARGET_ENTRY:
      return "entry";
    case TI_TARGET_FAILURE_DOMAIN:
      return "failure_domain";
    case TI_TARGET_REGION:
      return "region";
    }
  return "";
}

/* Objects.  */

static void *
copy_array (const void *p, size_t n)
{
  void *q = zp_alloc (n);

  if (n > 0)
    memcpy (q, p, n);
  return q;
}

static void
copy_secrets (struct ti_secrets *s)
{
  s->item = copy_array (s->item, s->len * sizeof *s->item);
  for (size_t i = 0; i < s->len; i++)
    s->item[i].ptr = copy_array (s->item[i].ptr, s->item[i].len);
}

static void
free_secrets (struct ti_secrets *s)
{
  for (size_t i = 0; i < s->len; i++)
    {
      sodium_memzero (s->item[i].ptr, s->item[i].len);
      free (s->item[i].ptr);
    }
  free (s->item);
}

struct ti_object *
ti_object_copy (const struct ti_object *o)
{
  struct ti_object *n = zp_alloc (sizeof *n);

  *n = *o;
  for (const struct ti_field *f = ti_fields (o->key.kind); f->key; f++)
    {
      void *value = (char *) n + f->offset;
      if (f->kind == TI_FIELD_LATENCIES)
        {
          struct ti_latencies *l = value;
          l->item = copy_array (l->item, l->len * sizeof *l->item);
        }
      if (f->kind == TI_FIELD_PREFIXES)
        {
          struct ti_prefixes *l = value;
          l->item = copy_array (l->item, l->len * sizeof *l->item);
        }
      if (f->kind == TI_FIELD_BLOB)
        {
          struct ti_blob *b = value;
          b->ptr = copy_array (b->ptr, b->len);
        }
      if (f->kind == TI_FIELD_SECRETS)
        copy_secrets (value);
      if (f->kind == TI_FIELD_REFS)
        {
          struct ti_names *l = value;
          l->item = copy_array (l->item, l->len * sizeof *l->item);
        }
    }
  return n;
}

void
ti_object_free (struct ti_object *o)
{
  if (!o)
    return;
  for (const struct ti_field *f = ti_fields (o->key.kind); f->key; f++)
    {
      void *value = (char *) o + f->offset;
      if (f->kind == TI_FIELD_LATENCIES)
        free (((struct ti_latencies *) value)->item);
      if (f->kind == TI_FIELD_PREFIXES)
        free (((struct ti_prefixes *) value)->item);
      if (f->kind == TI_FIELD_BLOB)
        free (((struct ti_blob *) value)->ptr);
      if (f->kind == TI_FIELD_SECRETS)
        free_secrets (value);
      if (f->kind == TI_FIELD_REFS)
        free (((struct ti_names *) value)->item);
    }
  free (o);
}

/* Stores the key of the object that T names.  Returns false when T does not
   name an object of the configuration.  */
static bool
target_key (const struct ti_target *t, struct ti_key *out)
{
  out->name = t->name;
  switch (t->kind)
    {
    case TI_TARGET_SERVER:
      return false; /* Backend servers announce themselves.  */
    case TI_TARGET_ENTRY:
      out->kind = TI_ENTRY;
      return true;
    case TI_TARGET_FAILURE_DOMAIN:
      out->kind = TI_FAILURE_DOMAIN;
      return true;
    case TI_TARGET_REGION:
      out->kind = TI_REGION;
      return true;
    }
  return false;
}

void
ti_object_references (const struct ti_object *o, ti_reference *each,
                      void *self)
{
  for (const struct ti_field *f = ti_fields (o->key.kind); f->key; f++)
    {
      const void *value = (const char *) o + f->offset;
      struct ti_key to = { .kind = f->ref };

      switch (f->kind)
        {
        case TI_FIELD_REF:
          to.name = *(const struct ti_text *) value;
          each (self, o, f->key, &to);
          break;
        case TI_FIELD_TARGET:
          if (target_key (value, &to))
            each (self, o, f->key, &to);
          break;
        case TI_FIELD_LATENCIES:
          for (size_t i = 0; i < ((const struct ti_latencies *) value)->len;
               i++)
            {
              to.name = ((const struct ti_latencies *) value)->item[i].region;
              each (self, o, f->key, &to);
            }
          break;
        case TI_FIELD_REFS:
          for (size_t i = 0; i < ((const struct ti_names *) value)->len; i++)
            {
              to.name = ((const struct ti_names *) value)->item[i];
              each (self, o, f->key, &to);
            }
          break;
        case TI_FIELD_CLASS:
        case TI_FIELD_ROLE:
        case TI_FIELD_BOOL:
        case TI_FIELD_INT:
        case TI_FIELD_SHARE:
        case TI_FIELD_RATE:
        case TI_FIELD_SECRETS:
        case TI_FIELD_OPTIONAL_INT:
        case TI_FIELD_ADDRESS:
        case TI_FIELD_PREFIXES:
        case TI_FIELD_NUMBER:
        case TI_FIELD_BLOB:
          break;
        }
    }
}
