/* NAME
     fault - what a stand-in server is told to do

   DESCRIPTION
     A command comes as the JSON body {"do": NAME, "value": N} of a POST to
     /_control.  NAME is the kind in lower case.  */

#ifndef ZP_BACKEND_COMMAND_H
#define ZP_BACKEND_COMMAND_H

#include "base/str.h"

enum be_command_kind
{
  BE_NORMAL, /* end all faults */
  BE_SLOW,   /* service time in percent of the usual one */
  BE_SILENT, /* run, but never answer */
  BE_FAIL,   /* answer 500 after running */
  BE_LIE,    /* report this load in percent */
  BE_CRASH,  /* drop all connections, down for so many ms */
  BE_DRAIN,  /* announce leaving and go on serving */
  BE_STOP,
};

struct be_command
{
  enum be_command_kind kind;
  int64_t value;
};

bool be_command_parse (struct zp_str body, struct be_command *out);

#endif
