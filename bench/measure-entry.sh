#!/bin/bash
# Measures a real entry daemon on loopback, with zp-control, zp-backend,
# zp-load and bench/http-client.  Prints lines "name value unit baseline".
#
# Limits: all processes share the cores of one machine, loopback has no
# latency, and each decision writes log lines to a file.  zp-backend wakes up
# by a timer of 1 ms, which adds to the latency of every request, with and
# without an entry daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
. bench/rig.sh
trap rig_stop EXIT
client=$build/bench/http-client
make --no-print-directory "$client" >/dev/null
runs=5

# Field NUMBER of a result line of http-client.
field() { # NUMBER LINE
  cut -d ' ' -f "$1" <<<"$2"
}

# Latency over one connection: directly to a server, through the entry daemon,
# and through the entry daemon with a claim of an idempotency key.  The three
# take turns.
measure_latency() {
  local i token r direct50=() direct99=() entry50=() entry99=() once50=() once99=() add50=() add99=() add_once=()
  for ((i = 1; i <= runs; i++)); do
    r=$($client "$(server 1)" /fast/x 1 1)
    direct50+=("$(field 4 "$r")") direct99+=("$(field 5 "$r")")
    r=$($client "$(entry 1)" /fast/x 1 1)
    entry50+=("$(field 4 "$r")") entry99+=("$(field 5 "$r")")
    token=$(once_home)
    r=$($client "$(entry 1)" /once/x 1 1 "Idempotency-Key: $token.r$i-%")
    [ "$(field 1 "$r")" = "$(field 2 "$r")" ] || echo "once: $r" >&2
    once50+=("$(field 4 "$r")") once99+=("$(field 5 "$r")")
    add50+=("$(calc "${entry50[-1]} - ${direct50[-1]}")")
    add99+=("$(calc "${entry99[-1]} - ${direct99[-1]}")")
    add_once+=("$(calc "${once50[-1]} - ${entry50[-1]}")")
  done
  figure direct-p50 us - "${direct50[@]}"
  figure direct-p99 us - "${direct99[@]}"
  figure entry-p50 us "$(calc "${direct50[0]}")" "${entry50[@]}"
  figure entry-p99 us "$(calc "${direct99[0]}")" "${entry99[@]}"
  figure entry-added-p50 us - "${add50[@]}"
  figure entry-added-p99 us - "${add99[@]}"
  figure once-p50 us "$(calc "${entry50[0]}")" "${once50[@]}"
  figure once-p99 us "$(calc "${entry99[0]}")" "${once99[@]}"
  figure once-added-p50 us - "${add_once[@]}"
}

# Runs closed loops and prints the rate, and the rate for each core of
# processor time that the entry daemon used.
closed() { # NAME TARGET CONNECTIONS [HEADER]
  local i r before rate=() core=()
  for ((i = 1; i <= 3; i++)); do
    before=$(cpu_us entry-1)
    r=$($client "$(entry 1)" "$2" "$3" 2 ${4:+"$4$i-%"})
    # http-client counts only the last nine tenths of the time.
    core+=("$(calc "$(field 1 "$r") / 0.9 * 1e6 / ($(cpu_us entry-1) - $before)")")
    rate+=("$(field 3 "$r")")
  done
  figure "$1-rate" "1/s" - "${rate[@]}"
  figure "$1-per-core" "1/s/core" - "${core[@]}"
}

# Runs zp-load and prints its result lines.
load() { # SERVICE RATE TRIES MS
  cat >"$rig/load.json" <<JSON
{"entries": ["$(entry 1)"], "callers": ["10.1.0.1"], "records": "$rig/records", "duration_ms": $4,
 "services": ["$1 rate=$2 deadline_ms=2000 tries=$3"]}
JSON
  "$build/zp-load" --settings "$rig/load.json" --json 2>>"$rig/load.log" || true
}

# The value of a field in the result of zp-load.
value() { # FIELD RESULT
  grep -o "\"$1\":[0-9.]*" <<<"$2" | head -n 1 | cut -d: -f2
}

# The number of requests that the servers of a service have run so far.
ran() { # SERVICE
  grep -c "^ran" "$rig/records/$1.record" || true
}

# Goodput and latency by offered load.  Capacity is the rate of closed loops
# that use all slots of the four servers without an entry daemon.
measure_load() {
  local i percent r capacity goodput before clients=()
  for i in 1 2 3 4; do
    $client "127.$net.3.3:$((8000 + i))" /slow/x 5 3 >"$rig/closed.$i" &
    clients+=($!)
  done
  wait "${clients[@]}"
  capacity=$(awk '{ n += $3 } END { printf "%d", n }' "$rig"/closed.?)
  figure load-capacity 1/s - "$capacity"
  for percent in 25 50 75 90 100 150 200; do
    before=$(ran slow)
    r=$(load slow $((capacity * percent / 100)) 1 3000)
    echo "$r" >&2
    echo "entry-load-$percent-p50 $(value p50_ms "$r") ms -"
    echo "entry-load-$percent-p99 $(value p99_ms "$r") ms -"
    # Goodput is the rate of runs, times the share of runs that were answered.
    # Only runs in the two seconds in the middle count, because servers still
    # run queued requests after the last one was sent.
    goodput=$(grep "^ran" "$rig/records/slow.record" | tail -n +$((before + 1)) |
      awk 'NR == 1 { t = $4 } $4 >= t + 500000 && $4 < t + 2500000 { n++ } END { print n / 2 }')
    goodput=$(calc "100 * $goodput * $(value answered "$r") / $(value runs "$r") / $capacity")
    echo "entry-load-$percent-goodput $goodput percent 100"
  done
}

# Retry amplification: the number of runs at servers for each request of a
# caller while all servers answer 500, with 1 and with 4 tries of the caller.
measure_amplification() {
  local tries before r asked
  for i in 1 2 3 4; do
    curl -s -d '{"do":"fail"}' "http://127.$net.3.4:$((8000 + i))/_control" >/dev/null
  done
  for tries in 1 4; do
    before=$(ran bad)
    r=$(load bad 200 $tries 4000)
    echo "$r" >&2
    asked=$(value asked "$r")
    echo "retry-amplification-caller-tries-$tries $(calc "($(ran bad) - $before) / $asked") runs/request 1"
  done
}

# Time from the submission of a drain, which is then reviewed and numbered, to
# the last run on the drained server.
measure_drain() {
  local i load began last times=()
  for i in 1 2 3; do
    load slow 500 1 5000 >"$rig/drain.out" &
    load=$!
    sleep 1.5
    echo "{\"title\": \"drain $i\", \"author\": \"ada\", \"against\": $i, \"set\": {\"drain/d$i\": {\"target\": \"server/slow-$i\"}}}" \
      >"$rig/drain.json"
    began=$(date +%s%6N)
    ticket "$rig/drain.json"
    wait $load
    last=$(awk -v id="slow-$i" '$1 == "ran" && $5 == id { t = $4 } END { print t }' "$rig/records/slow.record")
    times+=("$(calc "($last - $began) / 1e6")")
  done
  figure drain-last-run s - "${times[@]}"
}

rig_start
backend fast 1 2 64 200
backend once 2 2 64 200
backend slow 3 4 5 20000
backend bad 4 4 5 5000
for service in fast once slow bad; do wait_for $service; done
measure_latency
closed entry-requests /fast/x 32
closed entry-lookups "/v1/lookup?service=fast&caller=10.1.0.1" 32
token=$(once_home)
closed entry-once /once/x 32 "Idempotency-Key: $token.c"
echo "entry-memory $(awk '/VmRSS/ { print $2 / 1000 }' "/proc/$(cat "$rig/entry-1.pid")/status") MB -"
measure_load
measure_amplification
measure_drain
