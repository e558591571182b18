#include "backend/announce.h"

#include <json-c/json.h>

#define UNANSWERED_MAX 2 /* announcements before the next entry VM is tried */

void
be_entry_list_init (struct be_entry_list *c, const struct zp_strs *entries)
{
  *c = (struct be_entry_list){ .count = entries->len };
  for (size_t i = 0; i < entries->len; i++)
    zp_str_copy (c->entry[i], ZP_ADDRESS_MAX, entries->item[i]);
}

void
be_entry_list_note_answer (struct be_entry_list *c, struct zp_str preferred)
{
  size_t i = 0;

  c->unanswered = 0;
  if (preferred.len == 0)
    return;
  while (i < c->count && !zp_str_eq (zp_str_from (c->entry[i]), preferred))
    i++;
  if (i == c->count && c->count < BE_ENTRIES_MAX)
    c->count++;
  c->current = i < c->count ? i : c->count - 1;
  zp_str_copy (c->entry[c->current], ZP_ADDRESS_MAX, preferred);
}

void
be_entry_list_note_failure (struct be_entry_list *c)
{
  if (++c->unanswered < UNANSWERED_MAX)
    return;
  c->unanswered = 0;
  c->current = (c->current + 1) % c->count;
}

bool
be_announce_parse_answer (struct zp_str body, char *preferred, size_t size)
{
  struct json_object *v, *o = zp_json_parse (body, NULL);
  bool ok = json_object_is_type (o, json_type_object);

  preferred[0] = '\0';
  if (ok && json_object_object_get_ex (o, "preferred", &v))
    zp_str_copy (preferred, size, zp_str_from (json_object_get_string (v)));
  json_object_put (o);
  return ok;
}
