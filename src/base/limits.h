/* NAME
     limits - size limits and time constants that several modules share

   DESCRIPTION
     Durations are zp_time values (microseconds).  Sizes are in bytes unless
     the comment names another unit.  */

#ifndef ZP_BASE_LIMITS_H
#define ZP_BASE_LIMITS_H

#include "base/clock.h"

/* Sizes.  ZP_NAME_MAX and ZP_ADDRESS_MAX are sizes of arrays, with the zero
   byte at the end.  */
#define ZP_LOG_LINE_MAX 1024       /* with the newline */
#define ZP_NAME_MAX 64             /* name of an object or a member */
#define ZP_ADDRESS_MAX 64          /* "IP:port", IPv6 in brackets */
#define ZP_FRAME_MAX (1024 * 1024) /* payload of one frame (wire/frame.h) */
/* Payload of the first frame on an accepted connection of followers and entry
   daemons, which says who they are.  */
#define ZP_HELLO_MAX (16 * 1024)
#define ZP_BODY_MAX (256 * 1024) /* body of a request, or a daemon's answer */
/* Body of a backend server's answer.  */
#define ZP_ANSWER_BODY_MAX (8 * 1024 * 1024)
/* Bodies of all answers that an entry daemon receives at a time; the smallest
   entry VMs have 260 MB.  */
#define ZP_ANSWER_BODIES_MAX (64 * 1024 * 1024)
/* Bodies of requests and of their answers that an entry daemon holds at a time
   for its callers, and what short ones can take beyond.  A request at a server
   is held twice: 2 x 72 MB, ZP_ANSWER_BODIES_MAX and 30 MB for the rest are less
   than 260 MB.  */
#define ZP_BODIES_MAX ((size_t) 64 * 1024 * 1024)
#define ZP_BODIES_RESERVE ((size_t) 8 * 1024 * 1024)
#define ZP_HEADERS_MAX (16 * 1024)    /* all headers of one message */
#define ZP_KEY_MAX 256                /* idempotency key */
#define ZP_SETTINGS_MAX (1024 * 1024) /* settings file */
/* Bytes queued for sending on one connection of the inner protocol.  */
#define ZP_CONN_BACKLOG_MAX (8 * 1024 * 1024)

/* Leases.  The holder stops using a lease before the owner can lend the same
   capacity again: the holder counts the TTL from the time when it sent its
   request, the owner from its grant, and the owner adds the error of the clock
   rate.  */
#define ZP_LEASE_TTL (2000 * ZP_MS)
#define ZP_LEASE_IDLE (500 * ZP_MS) /* an unused lease is returned after it */
#define ZP_CLOCK_RATE_ERROR_PERCENT 1

/* Backend servers.  */
#define ZP_ANNOUNCE_PERIOD (500 * ZP_MS)
/* A server without an announcement for this time is gone.  */
#define ZP_ANNOUNCE_TTL (2000 * ZP_MS)
#define ZP_SERVER_CONNECTIONS_DEFAULT 360 /* when it announces no number */
#define ZP_SERVER_SLOTS_MAX 10000         /* slots of one server */
/* Bounds of the pace that a server states, in percent of the usual time.  */
#define ZP_SERVER_PACE_MIN 1
#define ZP_SERVER_PACE_MAX 100000
#define ZP_SERVER_CONNECTIONS_MAX 1000000 /* connections of one server */

/* Membership of entry daemons.  */
#define ZP_HEARTBEAT_REGION (250 * ZP_MS)  /* period, in the same region */
#define ZP_HEARTBEAT_REMOTE (1000 * ZP_MS) /* period, to other regions */
/* Periods without a heartbeat until a member is suspected (after twice as many
   it is down), and heartbeats without an acknowledgement until their
   connection is replaced.  */
#define ZP_HEARTBEAT_MISSED 4
#define ZP_MEMBERS_MAX 1024
/* Connections that one daemon opens into each other region.  With 8, and a
   summary on each twice a second, membership took 46 KB/s at 420 daemons.  */
#define ZP_REMOTE_LINKS 3
/* Bounds of the exponential backoff between attempts to connect.  */
#define ZP_RECONNECT_MIN (100 * ZP_MS)
#define ZP_RECONNECT_MAX (2000 * ZP_MS)

/* Dissemination of the configuration.  A follower leaves a source that sent
   nothing, or that had no contact with the leader, for ZP_FOLLOW_TIMEOUT.  The
   most demanding platforms need a change in force within 2.5 s, also when the
   source and the next one are both cut off without a sign.  That takes 0.9 s
   to notice the silence, 0.5 s for a connection that is not established, and
   0.1 s for an exchange with a third source.  */
#define ZP_FOLLOW_PING_PERIOD (250 * ZP_MS)
#define ZP_FOLLOW_TIMEOUT (900 * ZP_MS)
#define ZP_FOLLOW_RETRY (200 * ZP_MS) /* delay before the next source */
/* Recent changes that a source keeps for followers: number and bytes.  */
#define ZP_FOLLOW_HISTORY_MAX 4096
#define ZP_FOLLOW_HISTORY_BYTES (4 * 1024 * 1024)
#define ZP_FOLLOW_CHUNK (256 * 1024)     /* bytes of a snapshot in one frame */
#define ZP_CONFIG_MAX (64 * 1024 * 1024) /* bytes of a whole configuration */
/* After this many changes in its file, a follower stores a whole configuration
   and empties the file of changes.  */
#define ZP_FOLLOW_COMPACT_AFTER 256

/* Connections to backend servers.  A connection that is not established within
   ZP_CONNECT_TIMEOUT counts as refused: the round trip between regions takes
   110 ms, and a server accepts within about 1 ms.  */
#define ZP_CONNECT_TIMEOUT (500 * ZP_MS)
/* A connection whose sent bytes stay without an acknowledgement for this long
   is closed: the farthest servers acknowledge within 110 ms.  */
#define ZP_CONN_ACK_TIMEOUT (1000 * ZP_MS)
/* A connection that was idle for longer, or that is older, is not used
   again.  */
#define ZP_CONN_IDLE_MAX (10 * ZP_SEC)
#define ZP_CONN_AGE_MAX (60 * ZP_SEC)

/* Callers.  */
#define ZP_CALLER_CONNECTIONS 4096         /* open at once */
#define ZP_CALLER_IDLE_MAX (60 * ZP_SEC)   /* idle for longer: closed */
#define ZP_DEADLINE_DEFAULT (2000 * ZP_MS) /* from the arrival of a request */
#define ZP_DEADLINE_MAX (60 * ZP_SEC)
/* How long a caller may use the answer to a look-up.  An entry VM that is to be
   drained or stopped can still get requests for this long.  */
#define ZP_LOOKUP_TTL (3 * ZP_SEC)
#define ZP_STOP_TIMEOUT (10 * ZP_SEC) /* graceful shutdown of a daemon */

/* At-most-once claims.  Time is counted in generations.  A member refuses
   claims of a key from the moment when it drops the key's record, so that a
   dropped key is never granted a second time.  */
#define ZP_ONCE_GENERATION (60 * ZP_SEC)
#define ZP_ONCE_GENERATIONS 15       /* whose records a member keeps */
#define ZP_ONCE_BODY_MAX (64 * 1024) /* body of a recorded outcome */
#define ZP_ONCE_CONTENT_TYPE_MAX 128 /* content type of a recorded outcome */
/* Records of one member: half of the 256 MB that a daemon may use for
   control.  */
#define ZP_ONCE_MEMBER_BYTES ((size_t) 128 * 1024 * 1024)

#endif
