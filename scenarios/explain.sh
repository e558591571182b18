must="zpctl trace names the fault behind each failed request: silent servers, overload, a killed server"
seconds=7
load_services=("availability rate=600 deadline_ms=1000"
  "booking once=1 rate=60 deadline_ms=3000 patience_ms=1500 body_bytes=300")

entry() { echo "127.$(cat "$dir/net").2.1:7101"; }

# Sends a request to entry VM 1 and writes the answer to $dir/probe-ID.
probe() { # ID PATH DEADLINE_MS [KEY]
  curl -s -m 5 -d '' -H "Request-Id: $1" -H "Deadline-Ms: $3" ${4:+-H "Idempotency-Key: $4"} \
    "http://$(entry)/$2" >"$dir/probe-$1" || true
}

# The id of the first probe PREFIX* whose answer matches PATTERN.
matching_probe() { # PREFIX PATTERN
  grep -l "$2" "$dir"/probe-"$1"* | head -n 1 | sed 's/.*probe-//'
}

command_servers() { # JSON NAME...
  deployment control "$@" >/dev/null
}

during() {
  local i home
  sleep 1
  command_servers '{"do":"silent"}' backend-availability-w1
  for i in 1 2 3 4 5 6; do probe "silent-$i" availability/x 400; done
  command_servers '{"do":"normal"}' backend-availability-w1

  # A request takes 1,500% of 20 ms, so 96 slots serve 320 of 600 requests a
  # second.
  command_servers '{"do":"slow","value":1500}' backend-availability-{w1,w2,e1,e2,n1,n2}
  sleep 1
  for i in $(seq 1 40); do probe "load-$i" availability/x 800 & done
  sleep 1
  command_servers '{"do":"normal"}' backend-availability-{w1,w2,e1,e2,n1,n2}

  home=$(curl -s "http://$(entry)/v1/lookup?service=booking" | sed 's/.*"once_home": *"\([^"]*\)".*/\1/')
  command_servers '{"do":"slow","value":2000}' backend-booking-w1
  for i in 1 2 3 4 5 6; do probe "lost-$i" booking/x 3000 "$home.lost$i" & done
  sleep 0.3
  deployment signal KILL backend-booking-w1
  sleep 1.5
}

# Compares the cause and the server in the trace with the fault that was
# injected.
expect() { # PREFIX PATTERN CAUSE SERVER
  local id trace
  id=$(matching_probe "$1" "$2")
  if [ -z "$id" ]; then
    echo "no probe $1 failed with $2, the scenario proves nothing;"
    return
  fi
  trace=$("$build/zpctl" trace --json "$id" "$dir"/entry-*.log "$dir"/control-*.log) || echo "no log line mentions $id;"
  grep -q "\"cause\":\"$3\"" <<<"$trace" || echo "the cause of $id is not $3: $trace;"
  grep -q "\"server\":\"$4" <<<"$trace" || echo "the server of $id is not $4: $trace;"
}

check() {
  expect silent- may-have-run server-silent availability-w1
  expect load- not-run overload ''
  expect lost- may-have-run server-lost booking-w1
}
