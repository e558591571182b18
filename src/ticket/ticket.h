/* NAME
     ticket - change tickets: parser, canonical text and digest

   DESCRIPTION
     A ticket is JSON with comments:

       {title, author, against, number?, set: {"KIND/NAME": {...}},
        delete: ["KIND/NAME"]}

     AGAINST is the number of the configuration that the author based the
     ticket on.  "set" has the complete new fields of each object.  "set" and
     "delete" together are the edit of the ticket; the lists of an edit are
     sorted by key, and no key occurs twice.

     The canonical text has no comments or white space and a fixed order of
     keys.  The digest is computed from it, so that it does not depend on the
     layout of the ticket.

   RETURN VALUE
     ti_ticket_parse and ti_ticket_read return NULL, and ti_edit_read returns
     false, after adding every mistake to the report.  */

#ifndef ZP_TICKET_TICKET_H
#define ZP_TICKET_TICKET_H

#include "ticket/object.h"

#define TI_TITLE_MAX 200 /* bytes */
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

/* The 256-bit BLAKE2b hash of the canonical text, in lower-case hexadecimal
   digits.  */
struct ti_digest
{
  char hex[64];
};

struct ti_ticket
{
  struct zp_buf title;
  struct ti_text author;
  uint64_t against;
  uint64_t number; /* claimed; 0: the next number */
  struct ti_edit edit;
};

/* Parses JSON text with comments.  */
struct ti_ticket *ti_ticket_parse (struct zp_str text,
                                   struct zp_report *report);
/* Reads a parsed JSON value.  */
struct ti_ticket *ti_ticket_read (struct json_object *root,
                                  struct zp_report *report);

/* Appends the canonical text.  */
void ti_ticket_write (const struct ti_ticket *t, struct zp_buf *out);
void ti_ticket_digest (const struct ti_ticket *t, struct ti_digest *out);
void ti_ticket_free (struct ti_ticket *t);

/* Edits.  */

/* Reads the members "set" and "delete" of ROOT.  */
bool ti_edit_read (struct json_object *root, struct ti_edit *out,
                   struct zp_report *report);

/* Appends "set":{...},"delete":[...] without braces around it.  */
void ti_edit_write (const struct ti_edit *e, struct zp_buf *out);
void ti_edit_free (struct ti_edit *e);

/* Sorts both lists by key.  */
void ti_edit_sort (struct ti_edit *e);

/* Whether E sets or deletes KEY.  E must be sorted.  */
bool ti_edit_sets (const struct ti_edit *e, const struct ti_key *key);
bool ti_edit_deletes (const struct ti_edit *e, const struct ti_key *key);

/* Lists of keys.  */
void ti_keys_add (struct ti_keys *k, const struct ti_key *key);
void ti_keys_write (const struct ti_keys *k, struct zp_buf *out);
void ti_keys_free (struct ti_keys *k);

/* Digests.  */
struct zp_str ti_digest_str (const struct ti_digest *d);
bool ti_digest_parse (struct zp_str text, struct ti_digest *out);
bool ti_digest_eq (const struct ti_digest *a, const struct ti_digest *b);

#endif
