/* NAME
     field - names of the fields of log lines

   DESCRIPTION
     All programs use this one list, so that log lines of different programs
     about the same request, server or configuration can be joined by field.
     docs/OPERATIONS.md describes each field; tests/test-trace.c checks that no
     field is missing there.  */

#ifndef ZP_BASE_FIELD_H
#define ZP_BASE_FIELD_H

enum zp_field_key
{
  /* The object that the line is about.  */
  ZP_KEY_REQUEST,
  ZP_KEY_SERVICE,
  ZP_KEY_WORKSPACE,
  ZP_KEY_SERVER,
  ZP_KEY_BEST_SERVER,
  ZP_KEY_DAEMON,
  ZP_KEY_MEMBER,
  ZP_KEY_CONFIGURATION,
  ZP_KEY_VERSION,
  ZP_KEY_TERM,
  ZP_KEY_LEADER,
  ZP_KEY_TICKET,
  ZP_KEY_TICKET_NUMBER,
  ZP_KEY_FINGERPRINT,
  ZP_KEY_ADDRESS,
  ZP_KEY_FAILURE_DOMAIN,
  ZP_KEY_HOST,
  ZP_KEY_PATH,

  /* The event and its outcome.  */
  ZP_KEY_REASON,
  ZP_KEY_VERDICT,
  ZP_KEY_END,
  ZP_KEY_STATUS,
  ZP_KEY_STATE,
  ZP_KEY_ATTEMPT,
  ZP_KEY_ATTEMPTS,
  ZP_KEY_ELAPSED_MS,
  ZP_KEY_HELD_MS,
  ZP_KEY_RETRY_AFTER_MS,
  ZP_KEY_PAUSE_MS,
  ZP_KEY_REUSED_CONNECTION,
  ZP_KEY_BODY_END,
  ZP_KEY_RECEIVED,
  ZP_KEY_HEAD_BYTES,

  /* Inputs of a decision.  */
  ZP_KEY_CHOICE,
  ZP_KEY_EXPECTED_MS,
  ZP_KEY_EXPECTED_WAIT_MS,
  ZP_KEY_WAY_MS,
  ZP_KEY_PATIENCE_MS,
  ZP_KEY_LEFT_MS,
  ZP_KEY_WORK,
  ZP_KEY_SLOTS,
  ZP_KEY_LOAD_AGE_MS,
  ZP_KEY_WARM,
  ZP_KEY_COLD,
  ZP_KEY_COLD_MS,
  ZP_KEY_QUEUE,
  ZP_KEY_LOSSES,
  ZP_KEY_REFUSED,
  ZP_KEY_LEASES,
  ZP_KEY_ROUTES,
  ZP_KEY_MISTAKES,
  ZP_KEY_CONFLICTS,

  ZP_KEYS, /* number of fields */
};

/* The name as it is written to the log.  */
const char *zp_field_name (enum zp_field_key key);

#endif
