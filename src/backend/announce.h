/* NAME
     announce - choice of the entry VM that a backend server announces to

   DESCRIPTION
     A server announces to one entry VM at a time.  It switches to the next one
     of its list after two announcements in a row without a valid answer, and
     to the preferred entry VM when an answer names one.  */

#ifndef ZP_BACKEND_ANNOUNCE_H
#define ZP_BACKEND_ANNOUNCE_H

#include "backend/settings.h"
#include "base/limits.h"

struct be_entry_list
{
  char entry[BE_ENTRIES_MAX][ZP_ADDRESS_MAX]; /* addresses "IP:port" */
  size_t count;
  size_t current;      /* index of the entry VM in use */
  unsigned unanswered; /* announcements in a row without a valid answer */
};

void be_entry_list_init (struct be_entry_list *l,
                         const struct zp_strs *entries);

/* The current entry VM has answered.  Switches to the address PREFERRED unless
   it is empty.  An address that is not in the list is appended, or replaces
   the last one when the list is full.  */
void be_entry_list_note_answer (struct be_entry_list *l,
                                struct zp_str preferred);

/* An announcement got no valid answer.  */
void be_entry_list_note_failure (struct be_entry_list *l);

/* Parses the answer to an announcement: copies the address "preferred" to
   PREFERRED, or "" when it is absent.  Returns false when BODY is not a JSON
   object.  */
bool be_announce_parse_answer (struct zp_str body, char *preferred,
                               size_t size);

#endif
