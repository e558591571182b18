/* NAME
     codec - encodes and decodes roster messages

   DESCRIPTION
     The ro_put functions append the encoded message to OUT.

   RETURN VALUE
     The ro_get functions return false when the payload is malformed.  */

#ifndef ZP_ROSTER_CODEC_H
#define ZP_ROSTER_CODEC_H

#include "task/msg.h"

/* ACKED is the number of the last update that D has acknowledged.  */
void ro_put_hello (struct zp_buf *out, const struct tk_daemon *d,
                   uint64_t acked);
bool ro_get_hello (struct zp_str payload, struct tk_daemon *out,
                   uint64_t *acked);

struct ro_update
{
  uint64_t number; /* acknowledged by the receiver */
  const struct tk_server *server;
  size_t servers;
  const struct tk_renewal *renewal;
  size_t renewals;
  const struct zp_str *control; /* "IP:port"; none: as listed before */
  size_t controls;
  unsigned entries; /* entry daemons connected to the sender */

  /* Entries that ro_get_update left out, because a field is out of range or
     unknown, such as a state that a newer sender knows.  They name no server
     to use; the others hold.  */
  size_t unreadable;
};

void ro_put_update (struct zp_buf *out, const struct ro_update *u);

/* The addresses in OUT are views into OWNER.  The caller releases OUT and
   OWNER with ro_update_free, also when decoding has failed.  */
bool ro_get_update (struct zp_str payload, struct ro_update *out,
                    void **owner);
void ro_update_free (struct ro_update *u, void *owner);

/* The answer to a ping.  */
struct ro_ping
{
  bool fresh; /* the sender is in contact with the leader of the log */
  bool leads; /* the sender leads it */
  struct zp_str region; /* of the sender */
  struct zp_str failure_domain;
};

void ro_put_ping (struct zp_buf *out, const struct ro_ping *p);

/* REGION and FAILURE_DOMAIN have room for ZP_NAME_MAX bytes each.  */
bool ro_get_ping (struct zp_str payload, bool *fresh, bool *leads,
                  char *region, char *failure_domain);

void ro_put_work (struct zp_buf *out, const struct tk_work *w);

/* The caller frees OUT->item and OUT->load, also when decoding has failed.  */
bool ro_get_work (struct zp_str payload, struct tk_work *out);

void ro_put_loss (struct zp_buf *out, const struct tk_loss *l);
bool ro_get_loss (struct zp_str payload, struct tk_loss *out);

void ro_put_ack (struct zp_buf *out, uint64_t number);
bool ro_get_ack (struct zp_str payload, uint64_t *number);

#endif
