/* NAME
     program - the main function of a control daemon

   DESCRIPTION
     Reads arguments and settings, runs the control task until SIGTERM or
     SIGINT, and reloads the seeds when the settings file changes.  NAME is the
     name of the program in log lines; INTERFACE is NULL for the product's own
     HTTP interface.

   RETURN VALUE
     The exit status: 0 after a graceful shutdown or a successful check of the
     settings, 1 after a failure.  Wrong usage exits with 64.  */

#ifndef ZP_CONTROL_PROGRAM_H
#define ZP_CONTROL_PROGRAM_H

#include "control/call.h"

int ct_program_main (int argc, char **argv, const char *name,
                     const struct ct_interface *interface);

#endif
