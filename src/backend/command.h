/* NAME
     command - commands that set the faults of a stub server

   DESCRIPTION
     A command is the JSON body {"do": NAME, "value": N} of a request for the
     path /_control.  NAME is the kind in lower case without prefix; "value" is
     from 0 to 60000, and 0 when absent.  */

#ifndef ZP_BACKEND_COMMAND_H
#define ZP_BACKEND_COMMAND_H

#include "base/str.h"

enum be_command_kind
{
  BE_NORMAL, /* end slow, silent, fail and lie */
  BE_SLOW,   /* set the service time to this percentage */
  BE_SILENT, /* run requests, but never answer */
  BE_FAIL,   /* run requests, then answer 500 */
  BE_LIE,    /* report this load, in percent, instead of the real one */
  BE_CRASH,  /* close all connections, restart after this many ms */
  BE_DRAIN,  /* announce that the server is leaving; keep serving */
  BE_STOP,   /* stop as after TK_STOP */
};

struct be_command
{
  enum be_command_kind kind;
  int64_t value;
};

/* Returns false when the name is unknown or the value out of range.  */
bool be_command_parse (struct zp_str body, struct be_command *out);

#endif
