/* NAME
     seeds - tells a daemon that the seeds in its settings have changed  */

#ifndef ZP_ROSTER_SEEDS_H
#define ZP_ROSTER_SEEDS_H

#include "base/settings.h"
#include "task/task.h"

/* Sends TK_SEEDS.  */
void ro_send_seeds (struct tk_task *to, const struct zp_strs *seeds);

#endif
