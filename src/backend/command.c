#include "backend/command.h"

#include <json-c/json.h>

#include "base/settings.h"

#define VALUE_MAX 60000 /* percent or ms, as the command says */

static const char *const names[]
    = { [BE_NORMAL] = "normal", [BE_SLOW] = "slow", [BE_SILENT] = "silent",
        [BE_FAIL] = "fail",     [BE_LIE] = "lie",   [BE_CRASH] = "crash",
        [BE_DRAIN] = "drain",   [BE_STOP] = "stop" };

bool
be_command_parse (struct zp_str body, struct be_command *out)
{
  struct json_object *name = NULL, *value = NULL;
  struct json_object *o = zp_json_parse (body, NULL);
  size_t i = 0, n = sizeof names / sizeof names[0];

  json_object_object_get_ex (o, "do", &name);
  json_object_object_get_ex (o, "value", &value);
  struct zp_str text = zp_str_from (json_object_get_string (name));
  while (i < n && !zp_str_eq (text, zp_str_from (names[i])))
    i++;
  *out = (struct be_command){ .kind = (enum be_command_kind) i,
                              .value = json_object_get_int64 (value) };
  json_object_put (o);
  return i < n && out->value >= 0 && out->value <= VALUE_MAX;
}
