must="a region that is lost with its control VM loses and doubles nothing, and tickets go on"
seconds=8
during() {
  sleep 2
  deployment signal KILL entry-5 entry-6 control-3 backend-{availability,booking,repair,checkin}-{n1,n2}
  echo '{"title": "limit", "author": "ada", "against": 1, "set": {"limits/booking-west": {"service": "booking", "region": "west", "max_in_flight": 50}}}' >"$dir/t1.json"
  deployment ticket "$dir/t1.json"
}
check() {
  [ "$(wc -l <"$dir/numbers")" = 2 ] || echo "the ticket after the loss has no number;"
  # Callers of the lost region go to other regions; only what was in flight may be in doubt.
  awk -v a="$(total answered)" -v n="$(total asked)" 'BEGIN { exit !(a >= 0.95 * n) }' ||
    echo "$(total answered) of $(total asked) requests were answered;"
}
