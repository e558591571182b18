#include "peer/report_codec.h"

#include <stdlib.h>

#include "wire/bytes.h"
#include "wire/peer.pb-c.h"

/* Summary.  */

void
pe_put_summary (struct zp_buf *out, const struct pe_summary *s,
                const struct pe_service_slots *services, size_t n)
{
  Wire__Summary w = WIRE__SUMMARY__INIT;
  Wire__Summary__Service *items = zp_alloc (n * sizeof *items);
  Wire__Summary__Service **list
      = zp_alloc (n * sizeof (Wire__Summary__Service *));

  for (size_t i = 0; i < n; i++)
    {
      wire__summary__service__init (&items[i]);
      items[i].name = wi_bytes (services[i].name);
      items[i].free = services[i].free;
      items[i].slots = services[i].slots;
      list[i] = &items[i];
    }
  w.incarnation = s->incarnation;
  w.generation = s->generation;
  w.number = s->number;
  w.n_services = n;
  w.services = list;
  wi_pack (out, &w.base);
  free (list);
  free (items);
}

bool
pe_get_summary (struct zp_str payload, struct pe_summary *out,
                pe_each_service *each, void *self)
{
  Wire__Summary *w = wi_unpack (&wire__summary__descriptor, payload);

  if (!w)
    return false;
  *out = (struct pe_summary){ .incarnation = w->incarnation,
                              .generation = w->generation,
                              .number = w->number };
  for (size_t i = 0; i < w->n_services; i++)
    each (self,
          &(struct pe_service_slots){ .name = wi_view (w->services[i]->name),
                                      .free = w->services[i]->free,
                                      .slots = w->services[i]->slots });
  wi_free (w);
  return true;
}

/* Poison report.  */

void
pe_put_poison (struct zp_buf *out, const struct st_poison_report *r)
{
  Wire__PoisonReport w = WIRE__POISON_REPORT__INIT;
  Wire__PoisonReport__Loss items[ST_POISON_LOSSES];
  Wire__PoisonReport__Loss *list[ST_POISON_LOSSES];

  for (uint32_t i = 0; i < r->losses; i++)
    {
      wire__poison_report__loss__init (&items[i]);
      items[i].server = r->loss[i].server;
      items[i].trial = r->loss[i].trial;
      items[i].age_us = (uint64_t) r->loss[i].age;
      list[i] = &items[i];
    }
  w.kind = (uint32_t) r->kind;
  w.hi = r->fp.hi;
  w.lo = r->fp.lo;
  w.origin = r->origin;
  w.seq = r->seq;
  w.n_losses = r->losses;
  w.losses = list;
  wi_pack (out, &w.base);
}

static bool
get_poison (const Wire__PoisonReport *w, struct st_poison_report *out)
{
  if (w->kind > ST_POISON_TRIAL_END || w->n_losses > ST_POISON_LOSSES)
    return false;
  *out = (struct st_poison_report){ .kind = (enum st_poison_kind) w->kind,
                                    .fp = { .hi = w->hi, .lo = w->lo },
                                    .origin = w->origin,
                                    .seq = w->seq,
                                    .losses = (uint32_t) w->n_losses };
  for (size_t i = 0; i < w->n_losses; i++)
    {
      if (w->losses[i]->age_us > (uint64_t) ST_POISON_TTL)
        return false;
      out->loss[i] = (struct st_loss){ .server = w->losses[i]->server,
                                       .trial = w->losses[i]->trial,
                                       .age = (zp_time) w->losses[i]->age_us };
    }
  return true;
}

bool
pe_get_poison (struct zp_str payload, struct st_poison_report *out)
{
  Wire__PoisonReport *w
      = wi_unpack (&wire__poison_report__descriptor, payload);
  bool ok = w && get_poison (w, out);

  wi_free (w);
  return ok;
}
