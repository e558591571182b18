/* NAME
     arguments - command line of the daemons and the stand-in programs

   DESCRIPTION
     All of them take --settings FILE, which is required, --check-settings,
     --verbose and --version; zp-load also takes --json.  Wrong usage ends the
     program with a message.  */

#ifndef ZP_BASE_ARGUMENTS_H
#define ZP_BASE_ARGUMENTS_H

#include <stdbool.h>

#define ZP_VERSION "zinniapost 0.1"

struct zp_arguments
{
  const char *path; /* of the settings */
  bool check;       /* check the settings and exit */
  bool verbose;     /* log debug messages too */
  bool json;
};

/* DOC is the description in --help; --json is known when TAKES_JSON.  */
void zp_arguments_parse (int argc, char **argv, const char *doc,
                         bool takes_json, struct zp_arguments *out);

#endif
