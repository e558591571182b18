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
#define ZP_SERVER_CONNECTIONS 360
#define ZP_SERVER_SLOTS_MAX 10000
#define ZP_SERVER_CONNECTIONS_MAX 1000000

/* Membership of entry daemons.  */
#define ZP_HEARTBEAT_REGION (250 * ZP_MS)
#define ZP_HEARTBEAT_REMOTE (1000 * ZP_MS)
#define ZP_HEARTBEAT_MISSED 4

/* Callers.  */
#define ZP_DEADLINE_DEFAULT (2000 * ZP_MS)
#define ZP_DEADLINE_MAX (60 * ZP_SEC)
#define ZP_LOOKUP_TTL (5 * ZP_SEC)
#define ZP_STOP_LIMIT (10 * ZP_SEC) /* graceful shutdown of a daemon */

#endif
