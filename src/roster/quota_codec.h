/* NAME
     quota_codec - encodes and decodes the asks and grants of rate limits

   DESCRIPTION
     The ro_put functions append the encoded message to OUT.  The link of an ask
     and of a grant is not part of the message.

   RETURN VALUE
     The ro_get functions return false when the payload is malformed, and leave
     nothing to free in OUT.  After true the caller frees OUT->item.  */

#ifndef ZP_ROSTER_QUOTA_CODEC_H
#define ZP_ROSTER_QUOTA_CODEC_H

#include "task/msg.h"

/* Most workspaces of one ask or grant.  */
#define RO_QUOTA_ITEMS_MAX 128

void ro_put_quota_ask (struct zp_buf *out, const struct tk_quota_ask *a);
bool ro_get_quota_ask (struct zp_str payload, struct tk_quota_ask *out);

void ro_put_quota_grant (struct zp_buf *out, const struct tk_quota_grant *g);
bool ro_get_quota_grant (struct zp_str payload, struct tk_quota_grant *out);

#endif
