#include "backend/announce.h"

#include <json-c/json.h>

#define UNANSWERED_MAX 2 /* announcements before the next entry VM is tried */

void
be_entry_list_init (struct be_entry_list *l, const struct zp_strs *entries)
{
  *l = (struct be_entry_list){ .count = entries->len };
  for (size_t i = 0; i < entries->len; i++)
    zp_str_copy (l->entry[i], ZP_ADDRESS_MAX, entries->item[i]);
}

void
be_entry_list_note_answer (struct be_entry_list *l, struct zp_str preferred)
{
  size_t i = 0;

  l->unanswered = 0;
  if (preferred.len == 0)
    return;
  while (i < l->count && !zp_str_eq (zp_str_from (l->entry[i]), preferred))
    i++;
  if (i == l->count && l->count < BE_ENTRIES_MAX)
    l->count++;
  l->current = i < l->count ? i : l->count - 1;
  zp_str_copy (l->entry[l->current], ZP_ADDRESS_MAX, preferred);
}

void
be_entry_list_note_failure (struct be_entry_list *l)
{
  if (++l->unanswered < UNANSWERED_MAX)
    return;
  l->unanswered = 0;
  l->current = (l->current + 1) % l->count;
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
