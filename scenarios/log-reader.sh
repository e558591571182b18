must="when the reader of the logs stops reading and then ends, log lines are dropped but no request is lost"
seconds=7
# Every request writes log lines, so that the pipe fills up soon.
load_services=("availability rate=300 deadline_ms=3000"
  "booking once=1 rate=60 deadline_ms=3000 patience_ms=1500 body_bytes=300")

dropped() {
  curl -s -m 1 "http://127.$(cat "$dir/net").2.1:7101/metrics" | sed -n 's/^zp_log_dropped_total \([0-9]*\).*/\1/p'
}

during() {
  local reader i
  deployment signal TERM entry-1
  while [ ! -e "$dir/entry-1.exit" ]; do sleep 0.05; done
  mv "$dir/entry-1.log" "$dir/entry-1.before.log"
  sed -i 's/"log_level": 6/"log_level": 7/' "$dir/entry-1.json"
  mkfifo "$dir/entry-1.log"
  cat "$dir/entry-1.log" >/dev/null &
  reader=$!
  deployment restart entry-1
  kill -STOP $reader
  # Each of these requests is refused, which writes a line; a pipe holds 64 KB.
  for i in $(seq 1 600); do echo "url=http://127.$(cat "$dir/net").2.1:7101/availability/r$i"; done >"$dir/urls"
  curl -s -m 5 -H 'Deadline-Ms: 1' -K "$dir/urls" >/dev/null || true
  dropped >"$dir/dropped-stopped"
  kill -KILL $reader
  kill -CONT $reader 2>/dev/null || true
  wait $reader 2>/dev/null || true
  sleep 0.5
  curl -s -o /dev/null -m 2 -w '%{http_code}' "http://127.$(cat "$dir/net").2.1:7101/availability/after" >"$dir/after"
}
check() {
  [ "$(cat "$dir/dropped-stopped")" -gt 0 ] || echo "no line was dropped, the scenario proves nothing;"
  [ "$(cat "$dir/after")" = 200 ] || echo "entry-1 answers $(cat "$dir/after") without a reader;"
}
