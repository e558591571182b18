#include "base/counter.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/limits.h"

struct entry
{
  struct entry *next;
  char *name;
  char *labels;
  struct zp_counter counter;
};

static pthread_mutex_t registry_lock = PTHREAD_MUTEX_INITIALIZER;
static struct entry *registry;

static char *
copy_text (const char *s)
{
  size_t n = strlen (s) + 1;

  return memcpy (zp_alloc (n), s, n);
}

/* The list is kept sorted by name and labels, so that the text output has the
   lines of one name together.  */
struct zp_counter *
zp_counter (const char *name, const char *labels)
{
  struct entry **at = &registry;
  struct entry *e = NULL;

  pthread_mutex_lock (&registry_lock);
  for (; *at; at = &(*at)->next)
    {
      int c = strcmp ((*at)->name, name);
      if (c == 0)
        c = strcmp ((*at)->labels, labels);
      if (c == 0)
        e = *at;
      if (c >= 0)
        break;
    }
  if (!e)
    {
      e = zp_alloc (sizeof *e);
      e->name = copy_text (name);
      e->labels = copy_text (labels);
      e->next = *at;
      *at = e;
    }
  pthread_mutex_unlock (&registry_lock);
  return &e->counter;
}

void
zp_count (struct zp_counter *c, int64_t n)
{
  atomic_fetch_add_explicit (&c->value, n, memory_order_relaxed);
}

void
zp_gauge (struct zp_counter *c, int64_t value)
{
  atomic_store_explicit (&c->value, value, memory_order_relaxed);
}

void
zp_counter_text (struct zp_buf *out)
{
  pthread_mutex_lock (&registry_lock);
  for (struct entry *e = registry; e; e = e->next)
    {
      int64_t v
          = atomic_load_explicit (&e->counter.value, memory_order_relaxed);
      if (e->labels[0] != '\0')
        zp_buf_printf (out, "%s{%s} %lld\n", e->name, e->labels,
                       (long long) v);
      else
        zp_buf_printf (out, "%s %lld\n", e->name, (long long) v);
    }
  pthread_mutex_unlock (&registry_lock);
}
