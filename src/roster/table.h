/* NAME
     table - the backend servers that a daemon knows

   SYNOPSIS
     switch (ro_table_update (&t, &server, now))
       ...

   DESCRIPTION
     Pure.  Reports of one server reach a daemon on several ways, late, twice
     and out of order.  The start with the highest BORN counts, and of one
     start the report with the highest SEQ.  An address belongs to the start
     that was born last; a server that another one has followed at its address
     is gone, and late reports of it change nothing.  A server that is gone
     stays in the table for RO_GONE_TTL, so that a late report does not bring
     it back.  One that only was silent does come back with a newer report.

   RETURN VALUE
     ro_table_update says what the report has changed.  */

#ifndef ZP_ROSTER_TABLE_H
#define ZP_ROSTER_TABLE_H

#include <stddef.h>

#include "task/msg.h"

/* A report that a partition has held up arrives at the latest when the
   partition ends; partitions of minutes are expected.  */
#define RO_GONE_TTL (600 * ZP_SEC)

/* Bounds the memory that reports can take; the largest deployment that was run
   has 486 servers.  */
#define RO_SERVERS_MAX 4096

/* A cold time that ends later than was known by more than this is a change.
   Reports of one cold time differ by the delays of their delivery.  */
#define RO_COLD_TOLERANCE (250 * ZP_MS)

struct ro_server
{
  struct tk_server report;        /* the newest one */
  enum tk_server_state own_state; /* by the server itself */
  zp_time cold_until;
  zp_time heard_at;       /* when a report arrived that was not old */
  uint64_t change_number; /* of the last change, for the owner of the table */
  uint64_t
      refresh_number;   /* of the last report that changed nothing, likewise */
  zp_time refreshed_at; /* when it was passed on */
};

struct ro_table
{
  struct ro_server *item;
  size_t len, cap;
};

enum ro_table_result
{
  RO_OLD,       /* older than what is known */
  RO_UNCHANGED, /* newer, but nothing has changed */
  RO_CHANGED,   /* a known start has changed its state */
  RO_STARTED,   /* a start that was not known */
  RO_FULL,      /* RO_SERVERS_MAX are known */
};

/* AT is set to the server, except for RO_OLD and RO_FULL.  Servers that were
   followed at their address become gone by the same call; FOLLOWED, unless it
   is NULL, is set to the first of them or to NULL.  Pointers live until the
   next call.  */
enum ro_table_result ro_table_update (struct ro_table *t,
                                      const struct tk_server *s, zp_time now,
                                      struct ro_server **at,
                                      struct ro_server **replaced);

/* NULL when ID is not known.  */
struct ro_server *ro_table_find (const struct ro_table *t, struct zp_str id);

/* Marks every server gone that was not heard since SINCE; calls EACH for
   them.  Drops those that are gone for RO_GONE_TTL.  */
typedef void ro_each_server (void *self, struct ro_server *s);
void ro_table_expire (struct ro_table *t, zp_time since, zp_time now,
                      ro_each_server *each, void *self);

void ro_table_free (struct ro_table *t);

#endif
