/* NAME
     limits - every size limit and time constant that more than one module uses

   DESCRIPTION
     Durations are zp_time values (microseconds) unless the name says _MS.  */

#ifndef ZP_BASE_LIMITS_H
#define ZP_BASE_LIMITS_H

#include "base/clock.h"

/* Sizes.  */
#define ZP_LOG_LINE_MAX 1024
#define ZP_NAME_MAX 64             /* bytes of an object or member name */
#define ZP_ADDRESS_MAX 64          /* "IP:port", IPv6 in brackets */
#define ZP_FRAME_MAX (1024 * 1024) /* payload bytes of one inner frame */
#define ZP_BODY_MAX (256 * 1024)   /* request or answer body */
/* Body of a backend server's answer.  */
#define ZP_ANSWER_BODY_MAX (8 * 1024 * 1024)
#define ZP_HEADERS_MAX (16 * 1024) /* all headers of one message */
#define ZP_KEY_MAX 256             /* idempotency key */
#define ZP_SETTINGS_MAX (1024 * 1024)
#define ZP_CONN_BACKLOG_MAX (8 * 1024 * 1024) /* unsent bytes of one link */

/* Leases.  The holder stops first: it counts from its ask, the owner from its
   grant, and the owner adds the clock-rate error.  */
#define ZP_LEASE_TTL (2000 * ZP_MS)
#define ZP_LEASE_IDLE (500 * ZP_MS)
#define ZP_CLOCK_RATE_ERROR_PERCENT 1

/* Backend servers.  */
#define ZP_ANNOUNCE_PERIOD (500 * ZP_MS)
#define ZP_ANNOUNCE_TTL (2000 * ZP_MS)
#define ZP_SERVER_CONNECTIONS_DEFAULT 360
#define ZP_SERVER_SLOTS_MAX 10000
#define ZP_SERVER_CONNECTIONS_MAX 1000000

/* Membership of entry daemons.  */
#define ZP_HEARTBEAT_REGION (250 * ZP_MS)
#define ZP_HEARTBEAT_REMOTE (1000 * ZP_MS)
#define ZP_HEARTBEAT_MISSED 4
#define ZP_MEMBERS_MAX 1024
/* Connections that one daemon opens into each other region.  With 8, and a
   summary on each twice a second, membership took 46 KB/s at 420 daemons.  */
#define ZP_REMOTE_LINKS 3
#define ZP_RECONNECT_MIN (100 * ZP_MS)
#define ZP_RECONNECT_MAX (2000 * ZP_MS)

/* Dissemination of the configuration.  A follower leaves a source that is
   silent, or out of contact with the leader, for ZP_FOLLOW_TIMEOUT.  A change
   has to be in force within 2.5 s where platforms ask for the most, also when
   the source and the next one are cut off silently: 0.9 s to notice, 0.5 s for
   a connection that does not stand, and an exchange of 0.1 s.  */
#define ZP_FOLLOW_PING_PERIOD (250 * ZP_MS)
#define ZP_FOLLOW_TIMEOUT (900 * ZP_MS)
#define ZP_FOLLOW_RETRY (200 * ZP_MS)
#define ZP_FOLLOW_HISTORY_MAX 4096 /* changes that a source keeps */
#define ZP_FOLLOW_HISTORY_BYTES (4 * 1024 * 1024)
#define ZP_FOLLOW_CHUNK (256 * 1024)     /* snapshot bytes in one frame */
#define ZP_CONFIG_MAX (64 * 1024 * 1024) /* a whole configuration */
#define ZP_FOLLOW_COMPACT_AFTER 256      /* changes in a follower's file */

/* Connections to backend servers.  A connection that is not established within
   ZP_CONNECT_TIMEOUT counts as refused: regions are 110 ms apart there and
   back, and a server takes about 1 ms.  */
#define ZP_CONNECT_TIMEOUT (500 * ZP_MS)
/* A connection whose bytes are not acknowledged for this long is silent: the
   farthest servers acknowledge in 110 ms.  */
#define ZP_CONN_ACK_TIMEOUT (1000 * ZP_MS)
#define ZP_CONN_IDLE_MAX (10 * ZP_SEC)
#define ZP_CONN_AGE_MAX (60 * ZP_SEC)

/* Callers.  */
#define ZP_CALLER_CONNECTIONS 4096
#define ZP_CALLER_IDLE_MAX (60 * ZP_SEC)
#define ZP_DEADLINE_DEFAULT (2000 * ZP_MS)
#define ZP_DEADLINE_MAX (60 * ZP_SEC)
/* Bounds the time in which an entry VM can be drained or stopped.  */
#define ZP_LOOKUP_TTL (3 * ZP_SEC)
#define ZP_STOP_TIMEOUT (10 * ZP_SEC) /* graceful shutdown of a daemon */

/* At-most-once claims.  A member refuses a key at the moment when it drops the
   key's record, so that a dropped key is never granted again.  */
#define ZP_ONCE_GENERATION (60 * ZP_SEC)
#define ZP_ONCE_GENERATIONS 15 /* generations that a member remembers */
#define ZP_ONCE_BODY_MAX (64 * 1024)
#define ZP_ONCE_CONTENT_TYPE_MAX                                              \
  128 /* bytes of the content type of an outcome */
/* Half of the 256 MB that a daemon may use for control.  */
#define ZP_ONCE_MEMBER_BYTES ((size_t) 128 * 1024 * 1024)

#endif
