#include "ticket/validate.h"

#include <inttypes.h>
#include <string.h>

#include "ticket/overlay.h"

struct check
{
  const struct ti_config *config;
  const struct ti_ticket *ticket;
  struct ti_overlay overlay;
  struct zp_report *report;
};

static const struct ti_object *
find (const struct check *c, enum ti_kind kind, const struct ti_text *name)
{
  const struct ti_key key = { .kind = kind, .name = *name };

  return ti_overlay_find (&c->overlay, &key);
}

/* References.  */

static void
check_reference (void *self, const struct ti_object *o, const char *field,
                 const struct ti_key *to)
{
  const struct check *c = self;

  if (ti_overlay_find (&c->overlay, to))
    return;
  if (ti_edit_sets (&c->ticket->edit, &o->key))
    zp_report_add (c->report,
                   "%s/%.*s: \"%s\": found \"%.*s\", allowed: an existing "
                   "%s",
                   TI_KEY_ARG (&o->key), field,
                   ZP_ARG (ti_text_str (&to->name)), ti_kind_name (to->kind));
  else
    zp_report_add (c->report,
                   "%s/%.*s: found in \"delete\", but %s/%.*s refers to it "
                   "in \"%s\"; allowed: to change or delete that object in "
                   "the same ticket",
                   TI_KEY_ARG (to), TI_KEY_ARG (&o->key), field);
}

static void
check_references (struct check *c)
{
  for (size_t i = 0; i < c->overlay.len; i++)
    ti_object_references (c->overlay.item[i], check_reference, c);
}

static void
check_deleted (struct check *c)
{
  const struct ti_keys *d = &c->ticket->edit.deleted;

  for (size_t i = 0; i < d->len; i++)
    if (!ti_config_find (c->config, &d->item[i]))
      zp_report_add (c->report,
                     "%s/%.*s: found in \"delete\", allowed: objects that "
                     "exist",
                     TI_KEY_ARG (&d->item[i]));
}

/* Two objects for the same thing.  */

static bool
same_link (const struct ti_link *a, const struct ti_link *b)
{
  return (ti_text_eq (&a->a, &b->a) && ti_text_eq (&a->b, &b->b))
         || (ti_text_eq (&a->a, &b->b) && ti_text_eq (&a->b, &b->a));
}

static bool
same_prefix (const struct ti_prefixes *a, const struct ti_prefixes *b)
{
  size_t i = 0, j = 0;

  while (i < a->len && j < b->len)
    {
      int order = ti_prefix_cmp (&a->item[i], &b->item[j]);
      if (order == 0)
        return true;
      i += order < 0;
      j += order > 0;
    }
  return false;
}

static bool
same_secret (const struct ti_secrets *a, const struct ti_secrets *b)
{
  size_t i = 0, j = 0;

  while (i < a->len && j < b->len)
    {
      const struct ti_blob *x = &a->item[i], *y = &b->item[j];
      int order = zp_str_cmp ((struct zp_str){ .ptr = x->ptr, .len = x->len },
                              (struct zp_str){ .ptr = y->ptr, .len = y->len });
      if (order == 0)
        return true;
      i += order < 0;
      j += order > 0;
    }
  return false;
}

/* Returns what A and B of one kind have in common though it must be unique, or
   NULL.  */
static const char *
duplicate (const struct ti_object *a, const struct ti_object *b)
{
  switch (a->key.kind)
    {
    case TI_LINK:
      return same_link (&a->u.link, &b->u.link) ? "the same two regions"
                                                : NULL;
    case TI_LIMITS:
      return ti_text_eq (&a->u.limits.service, &b->u.limits.service)
                     && ti_text_eq (&a->u.limits.region, &b->u.limits.region)
                 ? "the same service and region"
                 : NULL;
    case TI_ENTRY:
      return ti_text_eq (&a->u.entry.address, &b->u.entry.address)
                 ? "the same address"
                 : NULL;
    case TI_CONTROL:
      return ti_text_eq (&a->u.control.address, &b->u.control.address)
                     || ti_text_eq (&a->u.control.http, &b->u.control.http)
                 ? "the same address"
                 : NULL;
    case TI_SHIFT:
      return ti_text_eq (&a->u.shift.from, &b->u.shift.from)
                 ? "the same site in \"from\""
                 : NULL;
    case TI_BLOCKS:
      return same_prefix (&a->u.blocks.prefixes, &b->u.blocks.prefixes)
                 ? "the same prefix"
                 : NULL;
    case TI_WORKSPACE:
      return same_secret (&a->u.workspace.keys, &b->u.workspace.keys)
                 ? "the same key"
                 : NULL;
    case TI_SERVICE:
    case TI_REGION:
    case TI_FAILURE_DOMAIN:
    case TI_SITE:
    case TI_DRAIN:
    case TI_DOCUMENT:
    case TI_KIND_COUNT:
      return NULL;
    }
  return NULL;
}

/* The configuration in force has no duplicates, so one of each pair
   of duplicates is an object of the ticket.  */
static void
check_duplicates (struct check *c)
{
  const struct ti_edit *e = &c->ticket->edit;

  for (size_t i = 0; i < e->set_len; i++)
    {
      const struct ti_object *const *other;
      size_t n = ti_overlay_kind (&c->overlay, e->set[i]->key.kind, &other);
      for (size_t j = 0; j < n; j++)
        {
          /* Report a pair of two objects of the ticket once.  */
          int order = ti_key_cmp (&other[j]->key, &e->set[i]->key);
          if (order == 0 || (order > 0 && ti_edit_sets (e, &other[j]->key)))
            continue;
          const char *what = duplicate (e->set[i], other[j]);
          if (what)
            zp_report_add (c->report,
                           "%s/%.*s: found %s as in %s/%.*s, allowed: in one "
                           "object only",
                           TI_KEY_ARG (&e->set[i]->key), what,
                           TI_KEY_ARG (&other[j]->key));
        }
    }
}

/* Reports fields of one object that must differ but are equal.  */
static void
check_distinct (struct check *c, const struct ti_object *o)
{
  if (o->key.kind == TI_LINK && ti_text_eq (&o->u.link.a, &o->u.link.b))
    zp_report_add (c->report,
                   "%s/%.*s: \"b\": found \"%.*s\", allowed: another region "
                   "than \"a\"",
                   TI_KEY_ARG (&o->key), ZP_ARG (ti_text_str (&o->u.link.b)));
  if (o->key.kind == TI_SHIFT && ti_text_eq (&o->u.shift.from, &o->u.shift.to))
    zp_report_add (c->report,
                   "%s/%.*s: \"to\": found \"%.*s\", allowed: another site "
                   "than \"from\"",
                   TI_KEY_ARG (&o->key),
                   ZP_ARG (ti_text_str (&o->u.shift.to)));
  if (o->key.kind == TI_REGION)
    for (size_t i = 0; i < o->u.region.latency_ms.len; i++)
      if (ti_text_eq (&o->u.region.latency_ms.item[i].region, &o->key.name))
        zp_report_add (c->report,
                       "%s/%.*s: \"latency_ms\": found the region itself, "
                       "allowed: other regions",
                       TI_KEY_ARG (&o->key));
}

/* Entry daemons.  */

static bool
in_networks (const struct ti_text *address,
             const struct ti_failure_domain *domain)
{
  struct zp_buf text = { .ptr = NULL };
  struct ti_prefix host;
  bool found = false;

  if (ti_address_parse (ti_text_str (address), &text, &host))
    for (size_t i = 0; i < domain->entry_networks.len && !found; i++)
      found = ti_prefix_contains (&domain->entry_networks.item[i], &host);
  zp_buf_free (&text);
  return found;
}

static void
check_entries (struct check *c)
{
  const struct ti_object *const *entry;
  size_t n = ti_overlay_kind (&c->overlay, TI_ENTRY, &entry);

  for (size_t i = 0; i < n; i++)
    {
      const struct ti_entry *e = &entry[i]->u.entry;
      const struct ti_object *domain
          = find (c, TI_FAILURE_DOMAIN, &e->failure_domain);
      if (domain && !in_networks (&e->address, &domain->u.failure_domain))
        zp_report_add (c->report,
                       "%s/%.*s: \"address\": found \"%.*s\", allowed: an "
                       "address in \"entry_networks\" of failure_domain/%.*s",
                       TI_KEY_ARG (&entry[i]->key),
                       ZP_ARG (ti_text_str (&e->address)),
                       ZP_ARG (ti_text_str (&e->failure_domain)));
    }
}

/* Shifts.  If a shift were deleted or got other sites after blocks have moved,
   all of them would move back at once.  */
static void
check_shifts (struct check *c)
{
  const struct ti_slot *s;

  for (size_t at = 0; (s = ti_config_next (c->config, TI_SHIFT, &at));)
    {
      const struct ti_object *after = find (c, TI_SHIFT, &s->key.name);
      if (s->moved == 0)
        continue;
      if (!after)
        zp_report_add (c->report,
                       "%s/%.*s: found in \"delete\" while %g of the blocks "
                       "are moved; allowed: to set its \"share\" to 0 and to "
                       "delete it once all blocks are back",
                       TI_KEY_ARG (&s->key), s->moved / (double) TI_SHARE_ONE);
      else if (!ti_text_eq (&after->u.shift.from, &s->object->u.shift.from)
               || !ti_text_eq (&after->u.shift.to, &s->object->u.shift.to))
        zp_report_add (c->report,
                       "%s/%.*s: found new sites while %g of the blocks are "
                       "moved; allowed: new \"share\" and \"cap_per_minute\" "
                       "only",
                       TI_KEY_ARG (&s->key), s->moved / (double) TI_SHARE_ONE);
    }
}

/* Control members.  */

static bool
is_voter (const struct ti_object *o)
{
  return o && o->u.control.role == TI_ROLE_VOTER;
}

/* A daemon finds its own object by the number in its settings, so the name of
   the object must be that number.  */
static void
check_daemon_ids (struct check *c)
{
  const struct ti_edit *e = &c->ticket->edit;
  uint64_t id;

  for (size_t i = 0; i < e->set_len; i++)
    if ((e->set[i]->key.kind == TI_CONTROL || e->set[i]->key.kind == TI_ENTRY)
        && (!zp_str_u64 (ti_text_str (&e->set[i]->key.name), &id) || id == 0
            || e->set[i]->key.name.bytes[0] == '0'))
      zp_report_add (c->report,
                     "%s/%.*s: found this name, allowed: the daemon's id, a "
                     "whole number above 0",
                     TI_KEY_ARG (&e->set[i]->key));
}

static void
check_voters (struct check *c)
{
  const struct ti_object *const *member, *const *region;
  size_t n = ti_overlay_kind (&c->overlay, TI_CONTROL, &member);
  size_t regions = ti_overlay_kind (&c->overlay, TI_REGION, &region);
  size_t voters = 0;

  if (n == 0)
    return;
  for (size_t i = 0; i < n; i++)
    voters += is_voter (member[i]);
  if (voters == 0 || voters > TI_VOTERS_MAX)
    zp_report_add (c->report, "control: found %zu voters, allowed: 1 to %d",
                   voters, TI_VOTERS_MAX);
  for (size_t r = 0; r < regions; r++)
    {
      size_t in_region = 0;
      for (size_t i = 0; i < n; i++)
        {
          const struct ti_object *d = find (
              c, TI_FAILURE_DOMAIN, &member[i]->u.control.failure_domain);
          in_region += is_voter (member[i]) && d
                       && ti_text_eq (&d->u.failure_domain.region,
                                      &region[r]->key.name);
        }
      if (in_region > TI_VOTERS_IN_REGION_MAX)
        zp_report_add (c->report,
                       "control: found %zu voters in region/%.*s, allowed: at "
                       "most %d, so that the loss of a region keeps a "
                       "majority",
                       in_region, ZP_ARG (ti_text_str (&region[r]->key.name)),
                       TI_VOTERS_IN_REGION_MAX);
    }
}

/* Checks the change of one member from BEFORE to AFTER (NULL: not a member).
   Returns whether the set of voters changes.  */
static bool
check_member_change (struct check *c, const struct ti_object *before,
                     const struct ti_object *after)
{
  const struct ti_key *key = before ? &before->key : &after->key;

  if (before && after
      && !ti_text_eq (&before->u.control.address, &after->u.control.address))
    zp_report_add (c->report,
                   "%s/%.*s: \"address\": found a new address, allowed: the "
                   "same one; a new VM joins under a new member id",
                   TI_KEY_ARG (key));
  if (is_voter (after) && !before)
    zp_report_add (c->report,
                   "%s/%.*s: \"role\": found \"voter\" for a new member, "
                   "allowed: \"learner\" first",
                   TI_KEY_ARG (key));
  if (is_voter (before) && after && !is_voter (after))
    zp_report_add (
        c->report,
        "%s/%.*s: \"role\": found \"learner\" for a voter, allowed: "
        "to delete the member",
        TI_KEY_ARG (key));
  return is_voter (before) != is_voter (after);
}

static void
check_member_changes (struct check *c)
{
  const struct ti_object *const *member;
  const struct ti_slot *s;
  size_t n = ti_overlay_kind (&c->overlay, TI_CONTROL, &member);
  size_t members = 0, changes = 0;

  for (size_t at = 0; (s = ti_config_next (c->config, TI_CONTROL, &at));)
    {
      members++;
      changes += check_member_change (c, s->object,
                                      find (c, TI_CONTROL, &s->key.name));
    }
  /* The first configuration lists the members that the log was created with.
   */
  if (members == 0)
    return;
  for (size_t i = 0; i < n; i++)
    if (!ti_config_find (c->config, &member[i]->key))
      changes += check_member_change (c, NULL, member[i]);
  if (changes > 1)
    zp_report_add (c->report,
                   "control: found %zu changes of voters, allowed: one in a "
                   "ticket",
                   changes);
}

bool
ti_validate (const struct ti_config *c, const struct ti_ticket *t,
             struct zp_report *report)
{
  struct check check = { .config = c, .ticket = t, .report = report };
  size_t before = report->count;

  if (t->against > c->number)
    zp_report_add (report,
                   "\"against\": found %" PRIu64 ", allowed: at most %" PRIu64
                   ", the number in force",
                   t->against, c->number);
  ti_overlay_open (&check.overlay, c, &t->edit);
  if (check.overlay.len > TI_OBJECTS_MAX)
    zp_report_add (report, "ticket: found %zu objects, allowed: at most %d",
                   check.overlay.len, TI_OBJECTS_MAX);
  check_deleted (&check);
  check_references (&check);
  for (size_t i = 0; i < t->edit.set_len; i++)
    check_distinct (&check, t->edit.set[i]);
  check_duplicates (&check);
  check_entries (&check);
  check_shifts (&check);
  check_daemon_ids (&check);
  check_voters (&check);
  check_member_changes (&check);
  ti_overlay_close (&check.overlay);
  return report->count == before;
}
