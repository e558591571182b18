/* NAME
     process - properties of the whole process

   DESCRIPTION
     zp_process_forbid_cores keeps the memory of the process, which holds keys
     of workspaces, out of core dumps.  Every program calls it first in main.

     RLIMIT_CORE is set to 0.  The kernel ignores this limit when core dumps are
     piped to a program, so that /proc/self/coredump_filter is set as well: such
     a dump then has no memory.  */

#ifndef ZP_BASE_PROCESS_H
#define ZP_BASE_PROCESS_H

void zp_process_forbid_cores (void);

#endif
