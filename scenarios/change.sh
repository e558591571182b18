must="twenty tickets are each in force on every entry daemon within 7 s, and no number goes back"
seconds=7
# The numbers in force on all entry daemons, lowest first.
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
  echo "worst time to in force everywhere: $worst ms" >&2
  [ "$worst" -le 7000 ] || echo "a ticket took $worst ms;"
  [ "$(wc -l <"$dir/in-force-ms")" = 20 ] || echo "not every ticket was put in force;"
  # "PID NUMBER" of each line that says what is in force.
  sed -n 's/.*"pid":\([0-9]*\),"part":"config","configuration":\([0-9]*\),.*/\1 \2/p' "$dir"/entry-*.log |
    awk '{ n++; if ($2 < last[$1]) exit 1; last[$1] = $2 } END { if (n < 140) exit 1 }' ||
    echo "a number went back, or is missing in the logs;"
}
