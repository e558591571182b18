/* NAME
     arguments - command line of the stand-in programs

   DESCRIPTION
     Both programs take --settings FILE, which is required, and
     --check-settings; zp-load also takes --json.  Wrong usage ends the program
     with a message.  */

#ifndef ZP_BASE_ARGUMENTS_H
#define ZP_BASE_ARGUMENTS_H

#include <stdbool.h>

struct zp_arguments
{
  const char *path; /* of the settings */
  bool check;       /* check the settings and exit */
  bool json;
};

/* DOC is the description in --help; --json is known when TAKES_JSON.  */
void zp_arguments_parse (int argc, char **argv, const char *doc,
                         bool takes_json, struct zp_arguments *out);

#endif
