#include "peer/link_codec.h"

#include "wire/bytes.h"
#include "wire/peer.pb-c.h"

static bool
get_direction (ProtobufCBinaryData from, ProtobufCBinaryData to,
               struct pe_direction *out)
{
  return zp_str_copy (out->from, sizeof out->from, wi_view (from))
         && zp_str_copy (out->to, sizeof out->to, wi_view (to));
}

/* Report.  */

void
pe_put_link_report (struct zp_buf *out, const struct pe_direction *d,
                    const struct st_link_report *r)
{
  Wire__LinkReport w = WIRE__LINK_REPORT__INIT;

  w.from = wi_bytes (zp_str_from (d->from));
  w.to = wi_bytes (zp_str_from (d->to));
  w.number = r->number;
  w.settled = r->settled;
  wi_pack (out, &w.base);
}

bool
pe_get_link_report (struct zp_str payload, struct pe_direction *d,
                    struct st_link_report *out)
{
  Wire__LinkReport *w = wi_unpack (&wire__link_report__descriptor, payload);
  bool ok = w && get_direction (w->from, w->to, d);

  if (ok)
    *out = (struct st_link_report){ .number = w->number,
                                    .settled = w->settled };
  wi_free (w);
  return ok;
}

/* Request.  */

void
pe_put_link_request (struct zp_buf *out, const struct pe_direction *d,
                     const struct pe_link_request *r)
{
  Wire__LinkAsk w = WIRE__LINK_ASK__INIT;

  w.from = wi_bytes (zp_str_from (d->from));
  w.to = wi_bytes (zp_str_from (d->to));
  w.number = r->number;
  w.want = r->want;
  wi_pack (out, &w.base);
}

bool
pe_get_link_request (struct zp_str payload, struct pe_direction *d,
                     struct pe_link_request *out)
{
  Wire__LinkAsk *w = wi_unpack (&wire__link_ask__descriptor, payload);
  bool ok = w && w->want > 0 && get_direction (w->from, w->to, d);

  if (ok)
    *out = (struct pe_link_request){ .number = w->number, .want = w->want };
  wi_free (w);
  return ok;
}

/* Grant.  */

void
pe_put_link_grant (struct zp_buf *out, const struct pe_direction *d,
                   const struct st_link_grant *g)
{
  Wire__LinkGrant w = WIRE__LINK_GRANT__INIT;
  Wire__LeaseId id = WIRE__LEASE_ID__INIT;

  id.owner = g->owner;
  id.epoch = g->epoch;
  id.number = g->number;
  w.from = wi_bytes (zp_str_from (d->from));
  w.to = wi_bytes (zp_str_from (d->to));
  w.id = &id;
  w.ask = g->request;
  w.rate = g->rate;
  w.ttl_us = (uint64_t) g->ttl;
  wi_pack (out, &w.base);
}

bool
pe_get_link_grant (struct zp_str payload, struct pe_direction *d,
                   struct st_link_grant *out)
{
  Wire__LinkGrant *w = wi_unpack (&wire__link_grant__descriptor, payload);
  bool ok = w && w->id && w->rate >= 0 && w->ttl_us <= (uint64_t) ZP_LEASE_TTL
            && get_direction (w->from, w->to, d);

  if (ok)
    *out = (struct st_link_grant){ .owner = w->id->owner,
                                   .epoch = w->id->epoch,
                                   .number = w->id->number,
                                   .request = w->ask,
                                   .rate = w->rate,
                                   .ttl = (zp_time) w->ttl_us };
  wi_free (w);
  return ok;
}
