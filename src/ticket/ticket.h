/* NAME
     ticket - a change ticket: parse, canonical text and digest

   DESCRIPTION
     A ticket is JSON with comments:

       {title, author, against, number?, set: {"KIND/NAME": {...}},
        delete: ["KIND/NAME"]}

     It carries the whole new state of every object that it sets.  An edit is
     the part of a ticket that changes the configuration; its lists are sorted
     by key and no key occurs twice.

     The canonical text has no comments or white space and a fixed order of
     keys.  The digest is taken over it, so that a ticket keeps its digest
     whatever its layout.

   RETURN VALUE
     ti_ticket_parse returns NULL after it added every mistake to the report.
 */

#ifndef ZP_TICKET_TICKET_H
#define ZP_TICKET_TICKET_H

#include "ticket/object.h"

#define TI_TITLE_MAX 200
#define TI_EDIT_MAX 2000 /* objects in one ticket */

struct ti_keys
{
  struct ti_key *item;
  size_t len;
};

struct ti_edit
{
  struct ti_object **set;
  size_t set_len;
  struct ti_keys deleted;
};

/* The hash of a canonical ticket, in lower-case hexadecimal digits.  */
struct ti_digest
{
  char hex[64];
};

struct ti_ticket
{
  struct zp_buf title;
  struct ti_text author;
  uint64_t against;
  uint64_t number; /* claimed; 0: the next one */
  struct ti_edit edit;
};

struct ti_ticket *ti_ticket_parse (struct zp_str text,
                                   struct zp_report *report);
struct ti_ticket *ti_ticket_read (struct json_object *root,
                                  struct zp_report *report);
void ti_ticket_write (const struct ti_ticket *t, struct zp_buf *out);
void ti_ticket_digest (const struct ti_ticket *t, struct ti_digest *out);
void ti_ticket_free (struct ti_ticket *t);

/* Edits.  ROOT is the object that holds "set" and "delete".  */
bool ti_edit_read (struct json_object *root, struct ti_edit *out,
                   struct zp_report *report);
void ti_edit_write (const struct ti_edit *e, struct zp_buf *out);
void ti_edit_free (struct ti_edit *e);

/* Sorts both lists by key.  */
void ti_edit_sort (struct ti_edit *e);

/* Whether E sets or deletes KEY; E is sorted.  */
bool ti_edit_sets (const struct ti_edit *e, const struct ti_key *key);
bool ti_edit_deletes (const struct ti_edit *e, const struct ti_key *key);

void ti_keys_add (struct ti_keys *k, const struct ti_key *key);
void ti_keys_write (const struct ti_keys *k, struct zp_buf *out);
void ti_keys_free (struct ti_keys *k);

/* Digests.  */
struct zp_str ti_digest_str (const struct ti_digest *d);
bool ti_digest_parse (struct zp_str text, struct ti_digest *out);
bool ti_digest_eq (const struct ti_digest *a, const struct ti_digest *b);

#endif
