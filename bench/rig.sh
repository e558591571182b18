#!/bin/bash
# Starts and stops a small deployment for measurements: one control daemon and
# three entry daemons (two in the region west, one in east).  "backend" adds
# the servers of a service in the failure domain of the first entry daemon.
# Sourced by bench/measure-*.sh, which call rig_start and, in a trap, rig_stop.
#
# RIG_LOG is the log level of the entry daemons, 6 by default.  If RIG_KEEP is
# set, the folder with settings and logs is kept.

build=${BUILD:-build}
net=$((32 + $$ % 90)) # 127.32.y.z to 127.121.y.z
rig=$PWD/build/rig-$$
pids=()

# Starts PROGRAM as process NAME; its output goes to NAME.log.
run() { # NAME PROGRAM
  "$build/$2" --settings "$rig/$1.json" >"$rig/$1.log" 2>&1 &
  pids+=($!)
  echo $! >"$rig/$1.pid"
}

entry() { echo "127.$net.2.$1:7101"; }
server() { echo "127.$net.3.$1:8001"; }

# Starts the servers of service NAME.  NUMBER gives their network address.
backend() { # NAME NUMBER SERVERS SLOTS SERVICE_US
  local i list=''
  for ((i = 1; i <= $3; i++)); do list="$list${list:+, }\"127.$net.3.$2:$((8000 + i))\""; done
  cat >"$rig/backend-$1.json" <<JSON
{"service": "$1", "id_prefix": "$1", "failure_domain": "w1", "slots": $4, "service_us": $5,
 "spread_percent": 0, "answer_bytes": 500, "records": "$rig/records/$1.record", "log_level": 4,
 "addresses": [$list], "entries": ["$(entry 1)"]}
JSON
  run "backend-$1" zp-backend
}

write_daemons() {
  local me="127.$net.1.1" n domain region i seeds
  mkdir -p "$rig/data" "$rig/records"
  cat >"$rig/control.json" <<JSON
{"id": 1, "address": "$me:7001", "http": "$me:7002", "follow": "$me:7003", "data": "$rig/data",
 "members": ["1=$me:7001,$me:7002"]}
JSON
  for n in 1 2 3; do
    domain=w$n region=west seeds=''
    [ $n -lt 3 ] || { domain=e1 region=east; }
    for i in 1 2 3; do [ $i = $n ] || seeds="$seeds${seeds:+, }\"127.$net.2.$i:7102\""; done
    cat >"$rig/entry-$n.json" <<JSON
{"id": $n, "failure_domain": "$domain", "region": "$region", "http": "$(entry $n)", "wire": "127.$net.2.$n:7102",
 "relay": "127.$net.2.$n:7103", "seeds": [$seeds], "follow": ["$me:7003"], "data": "", "log_level": ${RIG_LOG:-6}}
JSON
  done
  cat >"$rig/ticket.json" <<JSON
{"title": "first configuration", "author": "ada", "against": 0, "set": {
 "region/west": {"latency_ms": {"east": 55}}, "region/east": {"latency_ms": {"west": 55}},
 "failure_domain/w1": {"region": "west", "entry_networks": ["127.0.0.0/8"]},
 "failure_domain/w2": {"region": "west", "entry_networks": ["127.0.0.0/8"]},
 "failure_domain/e1": {"region": "east", "entry_networks": ["127.0.0.0/8"]},
 "site/w1": {"failure_domain": "w1"}, "blocks/w1": {"site": "w1", "prefixes": ["10.1.0.0/16"]},
 "service/fast": {"class": "idempotent", "priority": 1, "deadline_ms": 2000, "queue_max": 200},
 "service/once": {"class": "once", "priority": 1, "deadline_ms": 2000, "queue_max": 200},
 "service/slow": {"class": "idempotent", "priority": 1, "deadline_ms": 2000, "queue_max": 200},
 "service/bad": {"class": "idempotent", "priority": 1, "deadline_ms": 2000, "queue_max": 200}}}
JSON
}

# Puts a ticket in force: submits, reviews and numbers it.
ticket() { # FILE
  local digest server="127.$net.1.1:7002"
  "$build/zpctl" --server "$server" submit "$1" >"$rig/ticket.out" 2>&1
  digest=$(grep -o '[0-9a-f]\{64\}' "$rig/ticket.out" | head -n 1)
  "$build/zpctl" --server "$server" review "$digest" --operator grace >>"$rig/ticket.out" 2>&1
  "$build/zpctl" --server "$server" number "$digest" >>"$rig/ticket.out" 2>&1
}

# Prints the token that new idempotency keys begin with, from a look-up.
once_home() {
  curl -s "http://$(entry 1)/v1/lookup?service=once" | sed 's/.*"once_home":"\([^"]*\)".*/\1/'
}

# Waits until the first entry daemon answers a request of SERVICE.
wait_for() { # SERVICE
  local try
  for try in $(seq 1 150); do
    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Idempotency-Key: $(once_home).wait-$try" \
      "http://$(entry 1)/$1/x")" != 200 ] || return 0
    sleep 0.1
  done
  echo "rig: service $1 gave no answer with status 200 in $try tries" >&2
  return 1
}

rig_start() {
  write_daemons
  run control zp-control
  run entry-1 zp-entry
  run entry-2 zp-entry
  run entry-3 zp-entry
  sleep 0.3
  ticket "$rig/ticket.json"
}

rig_stop() {
  local i
  trap '' INT TERM
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill -TERM "${pids[i]}" 2>/dev/null || true; done
  for i in "${pids[@]}"; do wait "$i" 2>/dev/null || true; done
  [ -n "${RIG_KEEP:-}" ] || rm -rf "$rig"
}

# Processor time of a process in microseconds.
cpu_us() { # NAME
  local ticks
  ticks=$(sed 's/.*) //' "/proc/$(cat "$rig/$1.pid")/stat" | awk '{ print $12 + $13 }')
  echo $((ticks * 1000000 / $(getconf CLK_TCK)))
}

# The value of a metric of the first entry daemon.
metric() { # NAME [LABELS]
  curl -s "http://$(entry 1)/metrics" | awk -v n="$1${2:+{$2\}}" '$1 == n { print $2 }'
}

# Prints the median of the values, and lines -min and -max if there are
# several.
figure() { # NAME UNIT BASELINE VALUE...
  local name=$1 unit=$2 base=$3
  shift 3
  printf '%s\n' "$@" | sort -g | awk -v name="$name" -v unit="$unit" -v base="$base" '
    { v[NR] = $1 }
    END {
      print name, v[int((NR + 1) / 2)], unit, base
      if (NR > 1) { print name "-min", v[1], unit, "-"; print name "-max", v[NR], unit, "-" }
    }'
}

# Prints the value of an awk expression.
calc() { # EXPRESSION
  awk "BEGIN { printf \"%.4g\", $1 }"
}
