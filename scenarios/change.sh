must="each of twenty tickets is in force on every entry daemon within 7 s, and configuration numbers never decrease"
seconds=7
# The configuration numbers in force on all entry daemons, lowest first.
in_force() {
  local n
  for n in 1 2 3 4 5 6 7; do
    curl -sf -m 1 "http://127.$(cat "$dir/net").2.$n:7101/v1/status" | grep -o '^  "number":[0-9]*' | cut -d: -f2
  done | sort -n
}
during() {
  local n began
  for n in $(seq 1 20); do
    echo "{\"title\": \"limit $n\", \"author\": \"ada\", \"against\": $n, \"set\": {\"limits/booking-west\": {\"service\": \"booking\", \"region\": \"west\", \"max_in_flight\": $((60 + n))}}}" >"$dir/t$n.json"
    deployment ticket "$dir/t$n.json"
    began=$(now_us)
    while [ "$(in_force | head -n 1)" -lt $((n + 1)) ] && [ $(($(now_us) - began)) -lt 8000000 ]; do sleep 0.02; done
    echo $((($(now_us) - began) / 1000)) >>"$dir/in-force-ms"
  done
}
check() {
  local worst
  worst=$(sort -n "$dir/in-force-ms" | tail -n 1)
  echo "longest time until a ticket was in force on every entry daemon: $worst ms" >&2
  [ "$worst" -le 7000 ] || echo "a ticket took $worst ms until it was in force;"
  [ "$(wc -l <"$dir/in-force-ms")" = 20 ] || echo "not every ticket was put in force;"
  # "PID NUMBER" of each log line that reports the configuration in force.  20
  # tickets on 7 entry daemons make 140 lines.
  sed -n 's/.*"pid":\([0-9]*\),"part":"config","configuration":\([0-9]*\),.*/\1 \2/p' "$dir"/entry-*.log |
    awk '{ n++; if ($2 < last[$1]) exit 1; last[$1] = $2 } END { if (n < 140) exit 1 }' ||
    echo "a configuration number decreased, or is missing in the logs;"
}
