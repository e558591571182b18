/* NAME
     codec - roster messages to and from frames

   RETURN VALUE
     Each ro_get function returns false when the payload is no such message.
     Views in the result live until wi_free (OWNER).  */

#ifndef ZP_ROSTER_CODEC_H
#define ZP_ROSTER_CODEC_H

#include "task/msg.h"

void ro_put_hello (struct zp_buf *out, const struct tk_daemon *d,
                   uint64_t acked);
bool ro_get_hello (struct zp_str payload, struct tk_daemon *out,
                   uint64_t *acked);

struct ro_update
{
  uint64_t number;
  const struct tk_server *server;
  size_t servers;
  const struct zp_str *control; /* "IP:port" */
  size_t controls;
  unsigned entries;
};

void ro_put_update (struct zp_buf *out, const struct ro_update *u);

/* OUT's lists are released with ro_update_free.  */
bool ro_get_update (struct zp_str payload, struct ro_update *out,
                    void **owner);
void ro_update_free (struct ro_update *u, void *owner);

void ro_put_ping (struct zp_buf *out, bool fresh, struct zp_str region);

/* REGION has room for ZP_NAME_MAX.  */
bool ro_get_ping (struct zp_str payload, bool *fresh, char *region);

/* The caller frees OUT's list.  */
void ro_put_work (struct zp_buf *out, const struct tk_work *w);
bool ro_get_work (struct zp_str payload, struct tk_work *out);

void ro_put_loss (struct zp_buf *out, const struct tk_loss *l);
bool ro_get_loss (struct zp_str payload, struct tk_loss *out);

void ro_put_ack (struct zp_buf *out, uint64_t number);
bool ro_get_ack (struct zp_str payload, uint64_t *number);

#endif
