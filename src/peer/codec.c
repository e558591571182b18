#include "peer/codec.h"

#include <stdlib.h>

#include "wire/bytes.h"
#include "wire/peer.pb-c.h"

/* Hello.  */

void
pe_put_hello (struct zp_buf *out, const struct pe_hello *h,
              const struct pe_members *known)
{
  Wire__Hello m = WIRE__HELLO__INIT;
  size_t n = known->len;
  Wire__PeerAddress *items = zp_alloc (n * sizeof *items);
  Wire__PeerAddress **list = zp_alloc (n * sizeof (Wire__PeerAddress *));

  for (size_t i = 0; i < n; i++)
    {
      wire__peer_address__init (&items[i]);
      items[i].id = known->item[i].id;
      items[i].wire = wi_bytes (zp_str_from (known->item[i].wire));
      list[i] = &items[i];
    }
  m.id = h->id;
  m.incarnation = h->incarnation;
  m.failure_domain = wi_bytes (h->failure_domain);
  m.region = wi_bytes (h->region);
  m.http = wi_bytes (h->http);
  m.wire = wi_bytes (h->wire);
  m.n_known = n;
  m.known = list;
  wi_pack (out, &m.base);
  free (list);
  free (items);
}

bool
pe_get_hello (struct zp_str payload, struct pe_hello *out, void **owner)
{
  Wire__Hello *m = wi_unpack (&wire__hello__descriptor, payload);

  *owner = m;
  if (!m)
    return false;
  *out = (struct pe_hello){
    .id = m->id,
    .incarnation = m->incarnation,
    .failure_domain = wi_view (m->failure_domain),
    .region = wi_view (m->region),
    .http = wi_view (m->http),
    .wire = wi_view (m->wire),
  };
  return true;
}

void
pe_each_address (const void *owner, pe_address_fn *each, void *self)
{
  const Wire__Hello *m = owner;

  for (size_t i = 0; i < m->n_known; i++)
    each (self, wi_view (m->known[i]->wire));
}

/* Heartbeat.  */

void
pe_put_heartbeat (struct zp_buf *out, const struct pe_heartbeat *h)
{
  Wire__Heartbeat m = WIRE__HEARTBEAT__INIT;
  Wire__PeerAddress known = WIRE__PEER_ADDRESS__INIT;

  known.wire = wi_bytes (h->known);
  m.seq = h->seq;
  m.ack = h->ack;
  m.leaving = h->leaving;
  if (h->known.len > 0)
    m.known = &known;
  wi_pack (out, &m.base);
}

bool
pe_get_heartbeat (struct zp_str payload, struct pe_heartbeat *out,
                  void **owner)
{
  Wire__Heartbeat *m = wi_unpack (&wire__heartbeat__descriptor, payload);

  *owner = m;
  if (!m)
    return false;
  *out = (struct pe_heartbeat){ .seq = m->seq,
                                .ack = m->ack,
                                .leaving = m->leaving };
  if (m->known)
    out->known = wi_view (m->known->wire);
  return true;
}
