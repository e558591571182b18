/* NAME
     members - which entry daemons are alive

   DESCRIPTION
     A pure state machine: time is an argument and the result of each call is
     an event.  A member that was not heard for ZP_HEARTBEAT_MISSED periods
     becomes suspect, and its owner then tests it by a fresh connection; after
     as many periods again it is down.  A refused connection proves that the
     process is gone and takes it down at once.

     Membership only guides choices: leases and claims never depend on it.  */

#ifndef ZP_PEER_MEMBERS_H
#define ZP_PEER_MEMBERS_H

#include "base/clock.h"
#include "base/limits.h"
#include "base/str.h"

enum pe_state
{
  PE_KNOWN, /* an address only */
  PE_ALIVE,
  PE_SUSPECT,
  PE_DOWN,
};

enum pe_event
{
  PE_NOTHING,
  PE_CAME_UP,
  PE_CHANGED, /* restarted, or began to leave */
  PE_PROBE,   /* suspect: test it by a fresh connection */
  PE_WENT_DOWN,
};

struct pe_member
{
  uint64_t id; /* 0 until its hello arrived */
  uint64_t incarnation;
  enum pe_state state;
  bool leaving;
  zp_time heard_at;
  zp_time period; /* between its heartbeats */
  char wire[ZP_ADDRESS_MAX];
  char http[ZP_ADDRESS_MAX];
  char failure_domain[ZP_NAME_MAX];
  char region[ZP_NAME_MAX];
};

struct pe_members
{
  uint64_t self;
  char region[ZP_NAME_MAX];
  struct pe_member *item;
  size_t len;
};

struct pe_hello
{
  uint64_t id;
  uint64_t incarnation;
  struct zp_str failure_domain, region, http, wire;
};

void pe_members_init (struct pe_members *m, uint64_t self,
                      struct zp_str region);
void pe_members_free (struct pe_members *m);

/* Adds an address, without an identity yet.  Returns the index of its member,
   or -1 when the table is full or the address is too long.  */
int pe_members_add (struct pe_members *m, struct zp_str wire);

/* The index of member ID, or -1.  */
int pe_members_find (const struct pe_members *m, uint64_t id);

/* A hello was read.  Older incarnations are ignored.  INDEX is set to the
   member, or to -1 when the hello cannot be used.  */
enum pe_event pe_members_hello (struct pe_members *m, const struct pe_hello *h,
                                zp_time now, int *index);

/* Something was read on a connection of this incarnation of the member.  */
enum pe_event pe_members_heard (struct pe_members *m, int index,
                                uint64_t incarnation, bool leaving,
                                zp_time now);

/* A fresh connection was refused.  */
enum pe_event pe_members_refused (struct pe_members *m, int index);

/* What the passing of time means for one member.  */
enum pe_event pe_members_tick (struct pe_members *m, int index, zp_time now);

/* Whether this daemon opens a connection to the member: always inside the
   region, and to ZP_REMOTE_LINKS members of each other region.  */
bool pe_members_wants_link (const struct pe_members *m, int index);

#endif
