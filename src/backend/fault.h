/* NAME
     fault - what a stand-in server is told to do

   DESCRIPTION
     A command comes as the JSON body {"do": NAME, "value": N} of a POST to
     /_control.  N is read as the field of the union says.  */

#ifndef ZP_BACKEND_FAULT_H
#define ZP_BACKEND_FAULT_H

#include "base/err.h"

enum be_command_kind
{
  BE_NORMAL, /* end all faults */
  BE_SLOW,
  BE_SILENT, /* run, but never answer */
  BE_FAIL,   /* answer 500 after running */
  BE_LIE,
  BE_CRASH,
  BE_DRAIN, /* announce leaving and go on serving */
  BE_STOP,
};

struct be_command
{
  enum be_command_kind kind;
  union
  {
    int64_t slow_percent; /* of the usual service time */
    int64_t load_percent; /* reported instead of the real load */
    int64_t down_ms;
  } u;
};

bool be_command_parse (struct zp_str body, struct be_command *out);

#endif
