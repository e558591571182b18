#include "control/publish.h"

void
ct_publish_whole (struct fo_source *source, const struct ti_config *config,
                  uint64_t term)
{
  if (!source)
    return;
  struct tk_msg *m = tk_msg_new (TK_CONFIG);
  m->u.config = (struct tk_config){ .version = config->index,
                                    .number = config->number,
                                    .term = term,
                                    .whole = true };
  ti_config_encode (config, &m->u.config.bytes);
  tk_send (fo_source_task (source), m);
}

void
ct_publish_change (struct fo_source *source, const struct ti_config *config,
                   uint64_t term, uint64_t from,
                   const struct ti_change *change)
{
  if (!source)
    return;
  struct tk_msg *m = tk_msg_new (TK_CONFIG);
  m->u.config = (struct tk_config){ .from = from,
                                    .version = config->index,
                                    .number = config->number,
                                    .term = term };
  ti_change_encode (change, &m->u.config.bytes);
  tk_send (fo_source_task (source), m);
}
