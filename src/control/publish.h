/* NAME
     publish - sends the configuration in force to the source task

   DESCRIPTION
     Each function sends TK_CONFIG to SOURCE, which passes it on to the daemons
     that follow the configuration.  Nothing is sent when SOURCE is NULL.  TERM
     is the term of the last entry applied.  */

#ifndef ZP_CONTROL_PUBLISH_H
#define ZP_CONTROL_PUBLISH_H

#include "follow/source.h"
#include "ticket/config.h"

/* Sends the whole configuration.  */
void ct_publish_whole (struct fo_source *source,
                       const struct ti_config *config, uint64_t term);

/* Sends only CHANGE, which leads from version FROM to CONFIG.  */
void ct_publish_change (struct fo_source *source,
                        const struct ti_config *config, uint64_t term,
                        uint64_t from, const struct ti_change *change);

#endif
