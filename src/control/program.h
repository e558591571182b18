/* NAME
     program - the main program of a control daemon

   DESCRIPTION
     INTERFACE is NULL for the product's own one.  Returns the exit status.  */

#ifndef ZP_CONTROL_PROGRAM_H
#define ZP_CONTROL_PROGRAM_H

#include "control/call.h"

int ct_program_main (int argc, char **argv, const char *name,
                     const struct ct_interface *interface);

#endif
