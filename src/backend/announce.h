/* NAME
     announce - which entry VM a backend server announces to

   DESCRIPTION
     A server announces to one entry VM at a time.  It goes to the next one
     after two announcements without an answer, and to the preferred entry VM
     that an answer names.  */

#ifndef ZP_BACKEND_ANNOUNCE_H
#define ZP_BACKEND_ANNOUNCE_H

#include "backend/settings.h"
#include "base/limits.h"

struct be_entry_list
{
  char entry[BE_ENTRIES_MAX][ZP_ADDRESS_MAX];
  size_t count, current;
  unsigned unanswered;
};

void be_entry_list_init (struct be_entry_list *c,
                         const struct zp_strs *entries);

/* PREFERRED may be empty.  An unknown address takes the place of the last
   entry of a full list.  */
void be_entry_list_note_answer (struct be_entry_list *c,
                                struct zp_str preferred);
void be_entry_list_note_failure (struct be_entry_list *c);

/* Reads the answer to an announcement; false when it is none.  */
bool be_announce_parse_answer (struct zp_str body, char *preferred,
                               size_t size);

#endif
