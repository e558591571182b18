/* NAME
     report_codec - encodes and decodes summaries of owners and poison reports

   DESCRIPTION
     The services of a summary are decoded one by one through a callback, so
     that no list is allocated.

   RETURN VALUE
     The pe_get functions return false when the payload is malformed.  */

#ifndef ZP_PEER_REPORT_CODEC_H
#define ZP_PEER_REPORT_CODEC_H

#include "steer/poison.h"

/* The slots of one service that the sender owns.  */
struct pe_service_slots
{
  struct zp_str name;
  uint32_t free, slots;
};

struct pe_summary
{
  uint64_t incarnation; /* of the sender's table of claims */
  uint64_t generation;
  uint64_t number; /* of the configuration in force */
};

/* Receives the slots of one service.  */
typedef void pe_each_service (void *self, const struct pe_service_slots *s);

void pe_put_summary (struct zp_buf *out, const struct pe_summary *s,
                     const struct pe_service_slots *services, size_t n);
bool pe_get_summary (struct zp_str payload, struct pe_summary *out,
                     pe_each_service *each, void *self);

void pe_put_poison (struct zp_buf *out, const struct st_poison_report *r);
bool pe_get_poison (struct zp_str payload, struct st_poison_report *out);

#endif
