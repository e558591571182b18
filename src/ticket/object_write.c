#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>

#include "ticket/json.h"
#include "ticket/object.h"

/* Writing.  Names and addresses have no characters that JSON escapes.  */

static void
write_text (const struct ti_text *t, struct zp_buf *out)
{
  zp_buf_printf (out, "\"%.*s\"", ZP_ARG (ti_text_str (t)));
}

static void
write_latencies (const struct ti_latencies *l, struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("{"));
  for (size_t i = 0; i < l->len; i++)
    {
      if (i > 0)
        zp_buf_put (out, ZP_STR (","));
      write_text (&l->item[i].region, out);
      zp_buf_put (out, ZP_STR (":"));
      ti_json_put_decimal (out, l->item[i].us, TI_LATENCY_DIGITS);
    }
  zp_buf_put (out, ZP_STR ("}"));
}

static void
write_prefixes (const struct ti_prefixes *l, struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("["));
  for (size_t i = 0; i < l->len; i++)
    {
      zp_buf_put (out, i > 0 ? ZP_STR (",\"") : ZP_STR ("\""));
      ti_prefix_print (&l->item[i], out);
      zp_buf_put (out, ZP_STR ("\""));
    }
  zp_buf_put (out, ZP_STR ("]"));
}

static void
write_blob (const struct ti_blob *b, bool shown, struct zp_buf *out)
{
  if (!shown)
    {
      zp_buf_printf (out, "\"(%zu bytes)\"", b->len);
      return;
    }
  size_t n
      = sodium_base64_ENCODED_LEN (b->len, sodium_base64_VARIANT_ORIGINAL);
  char *text = zp_alloc (n);

  sodium_bin2base64 (text, n, (const unsigned char *) b->ptr, b->len,
                     sodium_base64_VARIANT_ORIGINAL);
  zp_buf_printf (out, "\"%s\"", text);
  free (text);
}

static void
write_secrets (const struct ti_secrets *s, bool shown, struct zp_buf *out)
{
  if (!shown)
    {
      zp_buf_printf (out, "\"(%zu key%s)\"", s->len, s->len == 1 ? "" : "s");
      return;
    }
  zp_buf_put (out, ZP_STR ("["));
  for (size_t i = 0; i < s->len; i++)
    {
      if (i > 0)
        zp_buf_put (out, ZP_STR (","));
      ti_json_put_string (out, (struct zp_str){ .ptr = s->item[i].ptr,
                                                .len = s->item[i].len });
    }
  zp_buf_put (out, ZP_STR ("]"));
}

static void
write_refs (const struct ti_names *l, struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("["));
  for (size_t i = 0; i < l->len; i++)
    {
      if (i > 0)
        zp_buf_put (out, ZP_STR (","));
      write_text (&l->item[i], out);
    }
  zp_buf_put (out, ZP_STR ("]"));
}

/* Whether the optional field F is left out.  */
static bool
is_zero (const struct ti_field *f, const void *value)
{
  switch (f->kind)
    {
    case TI_FIELD_BOOL:
      return !*(const bool *) value;
    case TI_FIELD_INT:
    case TI_FIELD_SHARE:
    case TI_FIELD_RATE:
      return *(const uint32_t *) value == 0;
    case TI_FIELD_NUMBER:
      return *(const uint64_t *) value == 0;
    case TI_FIELD_REFS:
      return ((const struct ti_names *) value)->len == 0;
    case TI_FIELD_OPTIONAL_INT:
      return !((const struct ti_optional_int *) value)->given;
    case TI_FIELD_CLASS:
    case TI_FIELD_ROLE:
    case TI_FIELD_REF:
    case TI_FIELD_ADDRESS:
    case TI_FIELD_TARGET:
    case TI_FIELD_LATENCIES:
    case TI_FIELD_PREFIXES:
    case TI_FIELD_BLOB:
    case TI_FIELD_SECRETS:
      return false;
    }
  return false;
}

static void
write_field (const struct ti_field *f, const void *value, bool shown,
             struct zp_buf *out)
{
  switch (f->kind)
    {
    case TI_FIELD_CLASS:
      zp_buf_printf (out, "\"%s\"",
                     ti_class_name (*(const enum ti_class *) value));
      break;
    case TI_FIELD_ROLE:
      zp_buf_printf (out, "\"%s\"",
                     ti_role_name (*(const enum ti_role *) value));
      break;
    case TI_FIELD_BOOL:
      zp_buf_put (out,
                  *(const bool *) value ? ZP_STR ("true") : ZP_STR ("false"));
      break;
    case TI_FIELD_INT:
      zp_buf_printf (out, "%u", *(const uint32_t *) value);
      break;
    case TI_FIELD_SHARE:
      ti_json_put_decimal (out, *(const uint32_t *) value, TI_SHARE_DIGITS);
      break;
    case TI_FIELD_REF:
    case TI_FIELD_ADDRESS:
      write_text (value, out);
      break;
    case TI_FIELD_TARGET:
      zp_buf_printf (
          out, "\"%s/%.*s\"",
          ti_target_kind_name (((const struct ti_target *) value)->kind),
          ZP_ARG (ti_text_str (&((const struct ti_target *) value)->name)));
      break;
    case TI_FIELD_LATENCIES:
      write_latencies (value, out);
      break;
    case TI_FIELD_PREFIXES:
      write_prefixes (value, out);
      break;
    case TI_FIELD_NUMBER:
      zp_buf_printf (out, "%" PRIu64, *(const uint64_t *) value);
      break;
    case TI_FIELD_BLOB:
      write_blob (value, shown, out);
      break;
    case TI_FIELD_RATE:
      ti_json_put_decimal (out, *(const uint32_t *) value, TI_RATE_DIGITS);
      break;
    case TI_FIELD_SECRETS:
      write_secrets (value, shown, out);
      break;
    case TI_FIELD_REFS:
      write_refs (value, out);
      break;
    case TI_FIELD_OPTIONAL_INT:
      zp_buf_printf (out, "%u",
                     ((const struct ti_optional_int *) value)->value);
      break;
    }
}

/* SHOWN: with the keys.  */
static void
write_object (const struct ti_object *o, bool shown, struct zp_buf *out)
{
  const char *sep = "";

  zp_buf_put (out, ZP_STR ("{"));
  for (const struct ti_field *f = ti_fields (o->key.kind); f->key; f++)
    {
      const void *value = (const char *) o + f->offset;
      if (f->optional && is_zero (f, value))
        continue;
      zp_buf_printf (out, "%s\"%s\":", sep, f->key);
      write_field (f, value, shown, out);
      sep = ",";
    }
  zp_buf_put (out, ZP_STR ("}"));
}

void
ti_object_write (const struct ti_object *o, struct zp_buf *out)
{
  write_object (o, true, out);
}

void
ti_object_show (const struct ti_object *o, struct zp_buf *out)
{
  write_object (o, false, out);
}
