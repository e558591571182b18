/* NAME
     config - the configuration in force

   DESCRIPTION
     A configuration has one slot per object, sorted by key.  A slot holds the
     object and the number of the ticket that last changed it.  The slot of a
     deleted object stays as a tombstone for TI_TOMBSTONE_TTL, so that the
     conflict check finds a ticket that is based on a configuration from before
     the deletion.  FORGOTTEN is the highest number among the tombstones that
     were dropped.

     A change is what one log entry does to a configuration: it applies the
     edit of a numbered ticket or one step of a shift.  A step has no number of
     its own, and the conflict check does not count it as a change of the
     shift's object.

     Encoding: one JSON value per line, first a header, then the slots in
     order.  Equal configurations have equal bytes on every member.

   RETURN VALUE
     The functions that can fail return false or NULL with ERR filled:
     ZP_ECORRUPT for damaged bytes, ZP_ECONFLICT for a change out of order,
     ZP_ENOTFOUND for a step of a shift that does not exist.  */

#ifndef ZP_TICKET_CONFIG_H
#define ZP_TICKET_CONFIG_H

#include "ticket/ticket.h"

/* A ticket is reviewed and numbered within days.  After a week its author has
   to rebase it on a newer configuration.  */
#define TI_TOMBSTONE_TTL (7 * 24 * 3600 * ZP_SEC)

/* In one configuration, without tombstones.  */
#define TI_OBJECTS_MAX 20000

struct ti_slot
{
  struct ti_key key;
  uint64_t number;          /* of the last change */
  struct ti_object *object; /* NULL: deleted, a tombstone */
  zp_time deleted_at;       /* of a tombstone */
  uint32_t moved; /* of a shift: share of the blocks moved, in millionths */
};

struct ti_config
{
  uint64_t number;    /* of the last numbered ticket; 0: none yet */
  uint64_t index;     /* log index of the last change */
  zp_time time;       /* of the last change; never decreases */
  uint64_t forgotten; /* highest number of a dropped tombstone */
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
  uint32_t moved; /* share moved after the step, in millionths */
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

/* Returns the slot of KEY, which may be a tombstone, or NULL.  */
const struct ti_slot *ti_config_slot (const struct ti_config *c,
                                      const struct ti_key *key);

/* Returns the object of KEY, or NULL.  */
const struct ti_object *ti_config_find (const struct ti_config *c,
                                        const struct ti_key *key);

/* Iterates over the slots that hold an object of KIND, without tombstones.
   *AT is the position, 0 at the start.  Returns NULL at the end.  */
const struct ti_slot *ti_config_next (const struct ti_config *c,
                                      enum ti_kind kind, size_t *at);

/* Applies CHANGE, which must have a higher index than C and, for an edit, the
   next number.  C is unchanged after a failure.  */
bool ti_config_apply (struct ti_config *c, const struct ti_change *change,
                      struct zp_err *err);

/* Fills OUT with the edit that undoes EDIT.  Call it before EDIT is applied
   to C.  */
void ti_config_make_undo (const struct ti_config *c,
                          const struct ti_edit *edit, struct ti_edit *out);

/* Applies UNDO, the undo edit of the last numbered ticket, which restores the
   objects of the previous number.  */
void ti_config_revert (struct ti_config *c, const struct ti_edit *undo);

/* Differences between two configurations of the same log, sorted by key.
   Slots with equal numbers are assumed to be equal.  The pointers are valid
   as long as both configurations.  */
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

/* Decodes an update from a control daemon.  WHOLE: BYTES is a complete
   configuration.  Otherwise BYTES is a change, and the result is a copy of
   BASE (NULL: an empty configuration) with the change applied.  BASE is not
   modified.  */
struct ti_config *ti_config_from_update (const struct ti_config *base,
                                         bool whole, struct zp_str bytes,
                                         struct zp_err *err);

/* Encoding and decoding.  */
void ti_config_encode (const struct ti_config *c, struct zp_buf *out);
struct ti_config *ti_config_decode (struct zp_str bytes, struct zp_err *err);
void ti_change_encode (const struct ti_change *change, struct zp_buf *out);
struct ti_change *ti_change_decode (struct zp_str bytes, struct zp_err *err);
void ti_change_free (struct ti_change *change);

#endif
