/* NAME
     config - the configuration in force

   DESCRIPTION
     A configuration holds one slot for every object, sorted by key, with the
     number of the ticket that last changed it.  A deleted object keeps its
     slot for TI_TOMBSTONE_TTL, so that a ticket whose author saw the object
     is found to be in conflict; FORGOTTEN is the highest number of a slot that
     was dropped after that period.

     A change is what the log does to a configuration: the edit of a numbered
     ticket, or one step of a shift.  A step has no number of its own and does
     not count as a change of the shift's object in the conflict check.

     The encoded form is one JSON value on each line: a header, then the slots
     in order.  Equal configurations have equal bytes on every member.

   RETURN VALUE
     ti_config_decode and ti_change_decode return NULL with ERR filled.  */

#ifndef ZP_TICKET_CONFIG_H
#define ZP_TICKET_CONFIG_H

#include "ticket/ticket.h"

/* A ticket is reviewed and numbered within days; after a week its author has
   to look at the configuration again.  */
#define TI_TOMBSTONE_TTL (7 * 24 * 3600 * ZP_SEC)
#define TI_OBJECTS_MAX 20000

struct ti_slot
{
  struct ti_key key;
  uint64_t number;          /* that last changed it */
  struct ti_object *object; /* NULL: deleted */
  zp_time deleted_at;
  uint32_t moved; /* of a shift: share moved so far, in millionths */
};

struct ti_config
{
  uint64_t number; /* of the last numbered ticket; 0: none yet */
  uint64_t index;  /* of the last change in the log */
  zp_time time;    /* of the last change; never goes back */
  uint64_t forgotten;
  struct ti_slot *slot;
  size_t len, cap;
};

enum ti_change_kind
{
  TI_CHANGE_EDIT,
  TI_CHANGE_STEP,
};

struct ti_change_edit
{
  uint64_t number;
  struct ti_digest digest;
  struct ti_edit edit;
};

struct ti_change_step
{
  struct ti_text shift;
  uint32_t moved; /* from now on, in millionths */
};

struct ti_change
{
  enum ti_change_kind kind;
  uint64_t index;
  zp_time time;
  union
  {
    struct ti_change_edit edit;
    struct ti_change_step step;
  } u;
};

struct ti_config *ti_config_new (void);
struct ti_config *ti_config_copy (const struct ti_config *c);
void ti_config_free (struct ti_config *c);

/* The slot of KEY, or NULL when no object of that key is remembered.  */
const struct ti_slot *ti_config_slot (const struct ti_config *c,
                                      const struct ti_key *key);

/* The object of KEY, or NULL.  */
const struct ti_object *ti_config_find (const struct ti_config *c,
                                        const struct ti_key *key);

/* Slots from *AT on that hold an object of KIND; *AT begins at 0.  Returns
   NULL at the end.  */
const struct ti_slot *ti_config_next (const struct ti_config *c,
                                      enum ti_kind kind, size_t *at);

/* Puts CHANGE into force.  The change has to be the next one: a higher index,
   and for an edit the next number.  C is untouched after a failure.  */
bool ti_config_apply (struct ti_config *c, const struct ti_change *change,
                      struct zp_err *err);

/* The edit that takes EDIT back from C, before it is applied.  */
void ti_config_make_undo (const struct ti_config *c,
                          const struct ti_edit *edit, struct ti_edit *out);

/* Applies the undo edit of the last numbered ticket.  The objects are then
   those of the number before.  */
void ti_config_revert (struct ti_config *c, const struct ti_edit *undo);

/* Differences, sorted by key.  The views live as long as both
   configurations.  Both have to come from one log: slots with the same number
   are taken to be equal.  */
struct ti_difference
{
  const struct ti_key *key;
  const struct ti_object *before, *after; /* NULL: absent */
};

struct ti_diff
{
  struct ti_difference *item;
  size_t len;
};

void ti_config_diff (const struct ti_config *a, const struct ti_config *b,
                     struct ti_diff *out);
void ti_diff_free (struct ti_diff *d);

/* The configuration that follows HELD (or NULL): the whole one in BYTES, or
   HELD with the change in BYTES.  Returns NULL with ERR filled.  */
struct ti_config *ti_config_from_update (const struct ti_config *held,
                                         bool whole, struct zp_str bytes,
                                         struct zp_err *err);

/* Bytes.  */
void ti_config_encode (const struct ti_config *c, struct zp_buf *out);
struct ti_config *ti_config_decode (struct zp_str bytes, struct zp_err *err);
void ti_change_encode (const struct ti_change *change, struct zp_buf *out);
struct ti_change *ti_change_decode (struct zp_str bytes, struct zp_err *err);
void ti_change_free (struct ti_change *change);

#endif
