/* NAME
     seeds - sends a task the addresses of control daemons in the settings  */

#ifndef ZP_ROSTER_SEEDS_H
#define ZP_ROSTER_SEEDS_H

#include "base/settings.h"
#include "task/task.h"

/* Sends TK_SEEDS with all of SEEDS ("IP:port").  */
void ro_send_seeds (struct tk_task *to, const struct zp_strs *seeds);

#endif
