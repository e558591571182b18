/* NAME
     members - the table of entry daemons and which of them are alive

   DESCRIPTION
     A pure state machine: time is an argument and the result of each call is
     an event.  A member from which no hello and no heartbeat was received for
     ZP_HEARTBEAT_MISSED heartbeat periods becomes suspect, and the caller then
     probes it by a fresh connection.  After the same time again it is down.  A
     refused connection proves that the process has ended: the member is down
     at once.

     Membership is only a hint for the choice of daemons: the safety of leases
     and claims never depends on it.  */

#ifndef ZP_PEER_MEMBERS_H
#define ZP_PEER_MEMBERS_H

#include "base/clock.h"
#include "base/limits.h"
#include "base/str.h"

enum pe_state
{
  PE_KNOWN, /* only its address is known */
  PE_ALIVE,
  PE_SUSPECT,
  PE_DOWN,
};

enum pe_event
{
  PE_NOTHING,
  PE_CAME_UP,
  PE_CHANGED, /* restarted, or its leaving flag changed */
  PE_PROBE,   /* became suspect: to be probed by a fresh connection */
  PE_WENT_DOWN,
};

struct pe_member
{
  /* The id of the member that answered at this address under another address
     of its own; 0: none.  ID is then 0.  */
  uint64_t alias_of;
  uint64_t id;          /* 0 until its hello arrives */
  uint64_t incarnation; /* higher at each start of the daemon */
  enum pe_state state;
  bool leaving;              /* shutting down */
  zp_time received_at;       /* arrival of its last hello or heartbeat */
  zp_time period;            /* between its heartbeats */
  char wire[ZP_ADDRESS_MAX]; /* address for other entry daemons */
  char http[ZP_ADDRESS_MAX]; /* address of its HTTP interface */
  char failure_domain[ZP_NAME_MAX];
  char region[ZP_NAME_MAX];
};

struct pe_members
{
  uint64_t self;            /* id of this daemon */
  char region[ZP_NAME_MAX]; /* of this daemon */
  struct pe_member *item;
  size_t len;
};

/* The first message on a connection: describes the sender.  */
struct pe_hello
{
  uint64_t id;
  uint64_t incarnation;
  struct zp_str failure_domain, region, http, wire;
};

void pe_members_init (struct pe_members *m, uint64_t self,
                      struct zp_str region);
void pe_members_free (struct pe_members *m);

/* Adds a member with the address WIRE, whose id is not known yet, unless there
   is one.  Returns its index, or -1 when the table is full or the address is
   empty or too long.  */
int pe_members_add (struct pe_members *m, struct zp_str wire);

/* Returns the index of member ID, or -1.  */
int pe_members_find (const struct pe_members *m, uint64_t id);

/* Applies a hello that was received.  Sets *INDEX to its member, or to -1 when
   the hello is ignored: its incarnation is older than that of the member, it
   is this daemon's own, its id is 0, its address belongs to another live
   member, its address is empty, one of its texts is too long or the table is
   full.  */
enum pe_event pe_members_hello (struct pe_members *m, const struct pe_hello *h,
                                zp_time now, int *index);

/* Applies a heartbeat that was received on a connection of INCARNATION of the
   member.  */
enum pe_event pe_members_heartbeat (struct pe_members *m, int index,
                                    uint64_t incarnation, bool leaving,
                                    zp_time now);

/* Applies the refusal of a new connection to the member.  */
enum pe_event pe_members_refused (struct pe_members *m, int index);

/* Applies the heartbeat time limits to one member.  */
enum pe_event pe_members_tick (struct pe_members *m, int index, zp_time now);

/* Notes that the member ID has answered at the address of INDEX, which is not
   its own.  It needs no link to that address while it is up.  */
void pe_members_note_alias (struct pe_members *m, int index, uint64_t id);

/* Whether this daemon opens a connection to the member: to all members of its
   own region, to ZP_REMOTE_LINKS members of each other region, and to members
   whose region is not known yet.  */
bool pe_members_wants_link (const struct pe_members *m, int index);

#endif
