#include "base/arguments.h"

#include <argp.h>

const char *argp_program_version = ZP_VERSION;

static error_t
on_argument (int key, char *value, struct argp_state *state)
{
  struct zp_arguments *a = state->input;

  if (key == 's')
    a->path = value;
  else if (key == 'c')
    a->check = true;
  else if (key == 'v')
    a->verbose = true;
  else if (key == 'j')
    a->json = true;
  else if (key == ARGP_KEY_END && !a->path)
    argp_error (state, "--settings is required");
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

void
zp_arguments_parse (int argc, char **argv, const char *doc, bool takes_json,
                    struct zp_arguments *out)
{
  /* The entry at index 3 is --json, or else the first of two terminators.  */
  struct argp_option options[]
      = { { "settings", 's', "FILE", 0, "Settings, JSON with comments", 0 },
          { "check-settings", 'c', NULL, 0,
            "Report every mistake in the settings and exit", 0 },
          { "verbose", 'v', NULL, 0, "Log debug messages too", 0 },
          { .name = NULL },
          { .name = NULL } };
  const struct argp argp
      = { .options = options, .parser = on_argument, .doc = doc };

  if (takes_json)
    options[3] = (struct argp_option){
      "json", 'j', NULL, 0, "Print JSON lines, not a table", 0
    };
  *out = (struct zp_arguments){ .path = NULL };
  argp_parse (&argp, argc, argv, 0, NULL, out);
}
