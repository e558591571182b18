#include "base/field.h"

#include <assert.h>

static const char *const names[ZP_KEYS] = {
  [ZP_KEY_REQUEST] = "request",
  [ZP_KEY_SERVICE] = "service",
  [ZP_KEY_WORKSPACE] = "workspace",
  [ZP_KEY_SERVER] = "server",
  [ZP_KEY_BEST_SERVER] = "best_server",
  [ZP_KEY_DAEMON] = "daemon",
  [ZP_KEY_MEMBER] = "member",
  [ZP_KEY_CONFIGURATION] = "configuration",
  [ZP_KEY_VERSION] = "version",
  [ZP_KEY_TERM] = "term",
  [ZP_KEY_LEADER] = "leader",
  [ZP_KEY_TICKET] = "ticket",
  [ZP_KEY_TICKET_NUMBER] = "ticket_number",
  [ZP_KEY_FINGERPRINT] = "fingerprint",
  [ZP_KEY_ADDRESS] = "address",
  [ZP_KEY_FAILURE_DOMAIN] = "failure_domain",
  [ZP_KEY_HOST] = "host",
  [ZP_KEY_PATH] = "path",
  [ZP_KEY_REASON] = "reason",
  [ZP_KEY_VERDICT] = "verdict",
  [ZP_KEY_END] = "end",
  [ZP_KEY_STATUS] = "status",
  [ZP_KEY_STATE] = "state",
  [ZP_KEY_ATTEMPT] = "attempt",
  [ZP_KEY_ATTEMPTS] = "attempts",
  [ZP_KEY_ELAPSED_MS] = "elapsed_ms",
  [ZP_KEY_HELD_MS] = "held_ms",
  [ZP_KEY_RETRY_AFTER_MS] = "retry_after_ms",
  [ZP_KEY_PAUSE_MS] = "pause_ms",
  [ZP_KEY_REUSED_CONNECTION] = "reused_connection",
  [ZP_KEY_BODY_END] = "body_end",
  [ZP_KEY_RECEIVED] = "received",
  [ZP_KEY_HEAD_BYTES] = "head_bytes",
  [ZP_KEY_CHOICE] = "choice",
  [ZP_KEY_EXPECTED_MS] = "expected_ms",
  [ZP_KEY_EXPECTED_WAIT_MS] = "expected_wait_ms",
  [ZP_KEY_WAY_MS] = "way_ms",
  [ZP_KEY_PATIENCE_MS] = "patience_ms",
  [ZP_KEY_LEFT_MS] = "left_ms",
  [ZP_KEY_WORK] = "work",
  [ZP_KEY_SLOTS] = "slots",
  [ZP_KEY_LOAD_AGE_MS] = "load_age_ms",
  [ZP_KEY_WARM] = "warm",
  [ZP_KEY_COLD] = "cold",
  [ZP_KEY_COLD_MS] = "cold_ms",
  [ZP_KEY_QUEUE] = "queue",
  [ZP_KEY_LOSSES] = "losses",
  [ZP_KEY_REFUSED] = "refused",
  [ZP_KEY_LEASES] = "leases",
  [ZP_KEY_ROUTES] = "routes",
  [ZP_KEY_MISTAKES] = "mistakes",
  [ZP_KEY_CONFLICTS] = "conflicts",
};

const char *
zp_field_name (enum zp_field_key key)
{
  assert (key < ZP_KEYS && names[key]);
  return names[key];
}
