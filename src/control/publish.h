/* NAME
     publish - gives the configuration in force to the source of followers

   DESCRIPTION
     Each function sends TK_CONFIG to SOURCE; nothing is sent without one.
     TERM is that of the last entry applied.  */

#ifndef ZP_CONTROL_PUBLISH_H
#define ZP_CONTROL_PUBLISH_H

#include "follow/source.h"
#include "ticket/config.h"

void ct_publish_whole (struct fo_source *source,
                       const struct ti_config *config, uint64_t term);

/* CHANGE led from version FROM to CONFIG.  */
void ct_publish_change (struct fo_source *source,
                        const struct ti_config *config, uint64_t term,
                        uint64_t from, const struct ti_change *change);

#endif
