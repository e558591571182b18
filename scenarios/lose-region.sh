must="no request is lost or run twice when a region is lost with its control VM, and tickets are still put in force"
seconds=8
during() {
  sleep 2
  deployment signal KILL entry-5 entry-6 control-3 backend-{availability,booking,repair,checkin}-{n1,n2}
  echo '{"title": "limit", "author": "ada", "against": 1, "set": {"limits/booking-west": {"service": "booking", "region": "west", "max_in_flight": 50}}}' >"$dir/t1.json"
  deployment ticket "$dir/t1.json"
}
check() {
  [ "$(wc -l <"$dir/numbers")" = 2 ] || echo "the ticket after the loss has no number;"
  # Callers of the lost region use other regions; only requests that were in
  # progress may be without an answer.
  awk -v a="$(total answered)" -v n="$(total asked)" 'BEGIN { exit !(a >= 0.95 * n) }' ||
    echo "$(total answered) of $(total asked) requests were answered;"
}
