/* NAME
     object - the typed objects of a configuration

   DESCRIPTION
     An object has a key (kind and name) and, in a tagged union, the fields of
     its kind.  ti_fields returns the table that describes the fields of a
     kind.  The functions that read, write, copy and free objects and that list
     their references are driven by this table.

     Shares are stored in millionths and latencies in microseconds, so that no
     result depends on floating-point rounding.

     ti_object_read checks every field.  For each mistake it adds a line to the
     report: object, field, value found and values allowed.  ti_object_write
     writes canonical JSON: fields in table order, lists sorted, optional fields
     only when they are not zero.

     Keys of workspaces are secret.  Only ti_object_write writes them, for the
     replicated state; ti_object_show writes their number in place of them.
     Mistakes in a workspace are reported without the text that was found.  */

#ifndef ZP_TICKET_OBJECT_H
#define ZP_TICKET_OBJECT_H

#include "base/clock.h"
#include "base/limits.h"
#include "ticket/prefix.h"

#define TI_PREFIXES_MAX 2000 /* in one blocks object */
#define TI_NETWORKS_MAX 64   /* in one failure domain */
#define TI_LATENCIES_MAX 64  /* in one region */
#define TI_WORKSPACE_KEYS_MAX 64
#define TI_HOME_REGIONS_MAX 64
#define TI_RATE_ONE 1000        /* one request a second, in thousandths */
#define TI_RATE_MAX 1000000000U /* thousandths: a million a second */
#define TI_SHARE_ONE 1000000    /* a share of 1, in millionths */

/* Decimals of values in JSON.  */
#define TI_LATENCY_DIGITS 3 /* milliseconds to microseconds */
#define TI_SHARE_DIGITS 6   /* to millionths */
#define TI_RATE_DIGITS 3    /* requests to thousandths */

/* Name of the document object that holds the routes.  */
#define TI_ROUTES "routes"

enum ti_kind
{
  TI_SERVICE,
  TI_REGION,
  TI_FAILURE_DOMAIN,
  TI_LINK,
  TI_SITE,
  TI_ENTRY,
  TI_LIMITS,
  TI_DRAIN,
  TI_SHIFT,
  TI_BLOCKS,
  TI_CONTROL,
  TI_DOCUMENT,
  TI_WORKSPACE,
  TI_KIND_COUNT,
};

/* A short string stored inside the struct.  Bytes after LEN are zero.  */
struct ti_text
{
  uint8_t len;
  char bytes[ZP_NAME_MAX - 1];
};

struct ti_key
{
  enum ti_kind kind;
  struct ti_text name;
};

enum ti_class
{
  TI_CLASS_IDEMPOTENT,
  TI_CLASS_ONCE,
};

enum ti_role
{
  TI_ROLE_VOTER,
  TI_ROLE_LEARNER,
};

enum ti_target_kind
{
  TI_TARGET_SERVER,
  TI_TARGET_ENTRY,
  TI_TARGET_FAILURE_DOMAIN,
  TI_TARGET_REGION,
};

struct ti_target
{
  enum ti_target_kind kind;
  struct ti_text name;
};

struct ti_latency
{
  struct ti_text region;
  uint32_t us; /* one way */
};

struct ti_latencies
{
  struct ti_latency *item; /* sorted by region */
  size_t len;
};

struct ti_prefixes
{
  struct ti_prefix *item; /* sorted */
  size_t len;
};

struct ti_service
{
  enum ti_class class;
  uint32_t priority; /* 0 is the most urgent */
  uint32_t deadline_ms;
  uint32_t queue_max;
  bool public; /* requests need no key of a workspace */
};

struct ti_region
{
  struct ti_latencies latency_ms;
};

struct ti_failure_domain
{
  struct ti_text region;
  struct ti_prefixes entry_networks;
};

struct ti_link
{
  struct ti_text a, b; /* regions */
  uint32_t mbit_per_s;
};

struct ti_site
{
  struct ti_text failure_domain;
};

struct ti_entry
{
  struct ti_text failure_domain;
  struct ti_text address;
  bool enabled;
};

struct ti_limits
{
  struct ti_text service;
  struct ti_text region;
  uint32_t max_in_flight;
};

struct ti_drain
{
  struct ti_target target;
};

struct ti_shift
{
  struct ti_text from, to; /* sites */
  uint32_t share;          /* millionths */
  uint32_t cap_per_minute; /* millionths */
};

struct ti_blocks
{
  struct ti_text site;
  struct ti_prefixes prefixes;
};

/* Bytes on the heap, owned by the struct.  */
struct ti_blob
{
  char *ptr;
  size_t len;
};

struct ti_control
{
  struct ti_text address; /* of the replicated log */
  struct ti_text http;    /* address of the operators' interface */
  struct ti_text failure_domain;
  enum ti_role role;
};

/* A complete configuration of routes with a number that the operators chose.
   BODY is the text as it was received, compressed with zlib (see
   ticket/blob.h), and can be returned byte for byte.  The interface that
   accepted the text also parses it.  */
struct ti_document
{
  uint64_t number;
  struct ti_blob body;
};

struct ti_secrets
{
  struct ti_blob *item; /* sorted; visible ASCII characters */
  size_t len;
};

struct ti_names
{
  struct ti_text *item; /* sorted */
  size_t len;
};

struct ti_optional_int
{
  bool given;
  uint32_t value;
};

/* A customer, or a part of one, with API keys.  Rate and burst are limits of
   all entry daemons together, in thousandths of a request.  */
struct ti_workspace
{
  struct ti_secrets keys;
  uint32_t rate_per_s; /* 0: no limit */
  uint32_t burst;
  struct ti_optional_int priority; /* replaces that of the service */
  struct ti_names home_regions;    /* may serve its requests; none: all */
};

struct ti_object
{
  struct ti_key key;
  union
  {
    struct ti_service service;
    struct ti_region region;
    struct ti_failure_domain failure_domain;
    struct ti_link link;
    struct ti_site site;
    struct ti_entry entry;
    struct ti_limits limits;
    struct ti_drain drain;
    struct ti_shift shift;
    struct ti_blocks blocks;
    struct ti_control control;
    struct ti_document document;
    struct ti_workspace workspace;
  } u;
};

/* Fields.  */

enum ti_field_kind
{
  TI_FIELD_CLASS,        /* enum ti_class */
  TI_FIELD_ROLE,         /* enum ti_role */
  TI_FIELD_BOOL,         /* bool */
  TI_FIELD_INT,          /* uint32_t, MIN to MAX */
  TI_FIELD_SHARE,        /* uint32_t, MIN to MAX millionths */
  TI_FIELD_REF,          /* struct ti_text: name of an object of kind REF */
  TI_FIELD_ADDRESS,      /* struct ti_text: "IP:port" */
  TI_FIELD_TARGET,       /* struct ti_target */
  TI_FIELD_LATENCIES,    /* struct ti_latencies */
  TI_FIELD_PREFIXES,     /* struct ti_prefixes, MIN to MAX items */
  TI_FIELD_NUMBER,       /* uint64_t */
  TI_FIELD_BLOB,         /* struct ti_blob; base64 in JSON */
  TI_FIELD_RATE,         /* uint32_t, MIN to MAX thousandths */
  TI_FIELD_SECRETS,      /* struct ti_secrets, MIN to MAX items */
  TI_FIELD_REFS,         /* struct ti_names: names of objects of kind REF,
                         MIN to MAX items */
  TI_FIELD_OPTIONAL_INT, /* struct ti_optional_int, MIN to MAX */
};

struct ti_field
{
  const char *key;
  enum ti_field_kind kind;
  size_t offset;     /* in struct ti_object */
  enum ti_kind ref;  /* kind of the object that the field refers to */
  uint32_t min, max; /* range, as described at ti_field_kind */
  bool optional;     /* it is zero when it is missing */
};

/* Returns the fields of KIND.  The last element has a NULL key.  */
const struct ti_field *ti_fields (enum ti_kind kind);

/* Names and keys.  */

const char *ti_kind_name (enum ti_kind kind);
bool ti_kind_parse (struct zp_str text, enum ti_kind *out);

/* Accepts a name of 1 to 63 letters, digits, ".", "_" and "-".  */
bool ti_name_parse (struct zp_str text, struct ti_text *out);

struct zp_str ti_text_str (const struct ti_text *t);

/* Returns false when S is longer than a struct ti_text can hold.  */
bool ti_text_set (struct ti_text *t, struct zp_str s);

bool ti_text_eq (const struct ti_text *a, const struct ti_text *b);
int ti_text_cmp (const struct ti_text *a, const struct ti_text *b);

/* Parses and prints the form "KIND/NAME".  */
bool ti_key_parse (struct zp_str text, struct ti_key *out, struct zp_err *err);
void ti_key_print (const struct ti_key *key, struct zp_buf *out);

/* Orders by kind, then by name.  */
int ti_key_cmp (const struct ti_key *a, const struct ti_key *b);

/* Arguments for the printf conversions "%s/%.*s".  */
#define TI_KEY_ARG(k)                                                         \
  ti_kind_name ((k)->kind), (int) (k)->name.len, (k)->name.bytes

/* Objects.  */

struct json_object;

/* Reads the object KEY from its JSON fields.  Returns NULL when it added a
   mistake to REPORT.  */
struct ti_object *ti_object_read (const struct ti_key *key,
                                  struct json_object *fields,
                                  struct zp_report *report);
void ti_object_write (const struct ti_object *o, struct zp_buf *out);

/* As ti_object_write, with "(N keys)" in place of keys, and "(N bytes)" in
   place of blobs, because the body of a document can hold keys too.  */
void ti_object_show (const struct ti_object *o, struct zp_buf *out);

struct ti_object *ti_object_copy (const struct ti_object *o);
void ti_object_free (struct ti_object *o);

/* Calls EACH for every reference of O: field FIELD of O requires that the
   object TO exists.  */
typedef void ti_reference (void *self, const struct ti_object *o,
                           const char *field, const struct ti_key *to);
void ti_object_references (const struct ti_object *o, ti_reference *each,
                           void *self);

/* The names of enum values in JSON.  */
const char *ti_class_name (enum ti_class c);
const char *ti_role_name (enum ti_role r);
const char *ti_target_kind_name (enum ti_target_kind k);

#endif
