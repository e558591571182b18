/* NAME
     seeds - sends the seeds of changed settings to a task  */

#ifndef ZP_ROSTER_SEEDS_H
#define ZP_ROSTER_SEEDS_H

#include "base/settings.h"
#include "task/task.h"

/* Sends TK_SEEDS with all of SEEDS.  */
void ro_send_seeds (struct tk_task *to, const struct zp_strs *seeds);

#endif
