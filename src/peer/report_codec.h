/* NAME
     report_codec - summaries and poison reports to and from their encoding

   DESCRIPTION
     Summaries are read field by field through a callback, so that no
     intermediate list is built.  */

#ifndef ZP_PEER_REPORT_CODEC_H
#define ZP_PEER_REPORT_CODEC_H

#include "steer/poison.h"

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

typedef void pe_each_service (void *self, const struct pe_service_slots *s);

void pe_put_summary (struct zp_buf *out, const struct pe_summary *s,
                     const struct pe_service_slots *services, size_t n);
bool pe_get_summary (struct zp_str payload, struct pe_summary *out,
                     pe_each_service *each, void *self);

void pe_put_poison (struct zp_buf *out, const struct st_poison_report *r);
bool pe_get_poison (struct zp_str payload, struct st_poison_report *out);

#endif
