/* NAME
     codec - dissemination messages to and from their encoding

   DESCRIPTION
     Every decoder returns false on bytes that it cannot read.  Views in a
     decoded message live until its memory, OWNER, is released with wi_free;
     the caller does that also after false.  */

#ifndef ZP_FOLLOW_CODEC_H
#define ZP_FOLLOW_CODEC_H

#include "task/msg.h"

struct fo_follow
{
  uint64_t id;
  uint64_t have;
};

struct fo_delta
{
  uint64_t from, version, number, term;
  struct zp_str change;
};

struct fo_part
{
  uint64_t version, number, term, offset, total;
  struct zp_str part;
};

struct fo_ping
{
  uint64_t version;
  bool fresh;
};

typedef void fo_in_force (void *self, const struct tk_follow_report *r);

void fo_put_follow (struct zp_buf *out, const struct fo_follow *m);
bool fo_get_follow (struct zp_str payload, struct fo_follow *out);

void fo_put_delta (struct zp_buf *out, const struct fo_delta *m);
bool fo_get_delta (struct zp_str payload, struct fo_delta *out, void **owner);

void fo_put_part (struct zp_buf *out, const struct fo_part *m);
bool fo_get_part (struct zp_str payload, struct fo_part *out, void **owner);

void fo_put_ping (struct zp_buf *out, const struct fo_ping *m);
bool fo_get_ping (struct zp_str payload, struct fo_ping *out);

void fo_put_report (struct zp_buf *out, const struct tk_follow_report *r,
                    size_t n);
bool fo_get_report (struct zp_str payload, fo_in_force *each, void *self);

#endif
