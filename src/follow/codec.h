/* NAME
     codec - encodes and decodes the messages that disseminate the
     configuration

   DESCRIPTION
     The fo_put functions append the encoded message to OUT.  Views in a
     decoded message are valid until its memory, OWNER, is released with
     wi_free; the caller releases it also when decoding has failed.

   RETURN VALUE
     The fo_get functions return false when the payload is malformed.  */

#ifndef ZP_FOLLOW_CODEC_H
#define ZP_FOLLOW_CODEC_H

#include "task/msg.h"

/* First message of a follower.  */
struct fo_follow
{
  uint64_t id;   /* of its daemon */
  uint64_t have; /* version that it has; 0: none */
};

/* The change that leads from version FROM to VERSION.  */
struct fo_delta
{
  uint64_t from, version, number, term;
  struct zp_str change;
};

/* A part of a whole configuration.  */
struct fo_part
{
  uint64_t version, number, term;
  uint64_t offset, total; /* bytes */
  struct zp_str part;
};

struct fo_ping
{
  uint64_t version; /* the newest one of the source */
  bool fresh;       /* the source is in contact with the leader */
};

/* Receives the report of one daemon.  */
typedef void fo_each_report (void *self, const struct tk_follow_report *r);

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

/* Calls EACH with SELF for every daemon of the report.  */
bool fo_get_report (struct zp_str payload, fo_each_report *each, void *self);

#endif
