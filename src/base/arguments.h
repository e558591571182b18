/* NAME
     arguments - parses the command line of every program that has settings

   DESCRIPTION
     Every program takes --settings FILE, which is required, --check-settings,
     --verbose and --version; zp-load also takes --json.

   ERRORS
     Wrong usage prints a message to standard error and ends the program.  */

#ifndef ZP_BASE_ARGUMENTS_H
#define ZP_BASE_ARGUMENTS_H

#include <stdbool.h>

#define ZP_VERSION "zinniapost 0.1"

struct zp_arguments
{
  const char *path; /* of the settings file */
  bool check;       /* check the settings and exit */
  bool verbose;     /* log debug messages too */
  bool json;        /* print JSON lines, not a table */
};

/* Fills OUT.  DOC is the description that --help prints; --json is accepted
   only when TAKES_JSON is true.  */
void zp_arguments_parse (int argc, char **argv, const char *doc,
                         bool takes_json, struct zp_arguments *out);

#endif
