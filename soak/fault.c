#include "fault.h"

#include <stddef.h>
#include <stdio.h>

#define VALUES_MAX 12

static const struct dimension
{
  const char *name;
  size_t offset;
  const char *value[VALUES_MAX];
} dimensions[] = {
  { "part",
    offsetof (struct sk_fault, part),
    { "none", "answer", "copy", "earlier", "refusal", "other", "noise", "tail",
      "endless" } },
  { "follow",
    offsetof (struct sk_fault, follow),
    { "answer", "fin", "rst", "kill", "whole", "unlike" } },
  { "frame",
    offsetof (struct sk_fault, frame),
    { "length", "zero", "chunked", "close" } },
  { "at",
    offsetof (struct sk_fault, at),
    { "none", "any", "reason", "before", "after", "edge", "body", "size",
      "data", "trailer" } },
  { "when",
    offsetof (struct sk_fault, when),
    { "now", "pause", "next", "joined", "split" } },
  { "how", offsetof (struct sk_fault, how), { "cut", "spoil" } },
  { "order",
    offsetof (struct sk_fault, order),
    { "any", "first", "middle", "last" } },
  { "status",
    offsetof (struct sk_fault, status),
    { "any", "ok", "fail", "refuse" } },
};

#define DIMENSIONS (sizeof dimensions / sizeof dimensions[0])

/* Each dimension is an enumeration, which is stored as an unsigned int.  */
static unsigned *
field (struct sk_fault *f, const struct dimension *d)
{
  return (unsigned *) ((char *) f + d->offset);
}

static bool
set (struct sk_fault *f, struct zp_str name, struct zp_str value)
{
  for (size_t i = 0; i < DIMENSIONS; i++)
    if (zp_str_eq (name, zp_str_from (dimensions[i].name)))
      for (unsigned v = 0; v < VALUES_MAX && dimensions[i].value[v]; v++)
        if (zp_str_eq (value, zp_str_from (dimensions[i].value[v])))
          {
            *field (f, &dimensions[i]) = v;
            return true;
          }
  return false;
}

bool
sk_fault_parse (struct sk_fault *f, struct zp_str text)
{
  struct zp_str item, name, value, rest = text;

  *f = (struct sk_fault){ .part = SK_PART_NONE };
  while (rest.len > 0)
    {
      zp_str_split (rest, ',', &item, &rest);
      if (!zp_str_split (item, '=', &name, &value) || !set (f, name, value))
        return false;
    }
  return true;
}

void
sk_fault_text (const struct sk_fault *f, char text[SK_FAULT_TEXT])
{
  struct sk_fault copy = *f;
  size_t len = 0;

  for (size_t i = 0; i < DIMENSIONS; i++)
    len += (size_t) snprintf (
        text + len, SK_FAULT_TEXT - len, "%s%s=%s", i > 0 ? "," : "",
        dimensions[i].name,
        dimensions[i].value[*field (&copy, &dimensions[i])]);
}

void
sk_fault_print_all (void)
{
  for (size_t i = 0; i < DIMENSIONS; i++)
    {
      printf ("%s", dimensions[i].name);
      for (unsigned v = 0; v < VALUES_MAX && dimensions[i].value[v]; v++)
        printf (" %s", dimensions[i].value[v]);
      putchar ('\n');
    }
}
