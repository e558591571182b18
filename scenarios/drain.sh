must="a leaving server and a drained failure domain get no new requests after 2 s, and every request is answered"
seconds=7
during() {
  sleep 2
  # The servers of e1 announce that they leave; w2 is drained by a ticket.
  deployment control '{"do":"drain"}' backend-{availability,booking,repair,checkin}-e1 >/dev/null
  echo '{"title": "drain w2", "author": "ada", "against": 1, "set": {"drain/w2": {"target": "failure_domain/w2"}}}' \
    >"$dir/drain.json"
  deployment ticket "$dir/drain.json"
  now_us >"$dir/drained"
}
check() {
  local late
  [ "$(total late)" = 0 ] || echo "$(total late) requests arrived at leaving servers after the 2 s;"
  late=$(records ran '[a-z]*-w2-' | awk -v t="$(cat "$dir/drained")" '$4 > t + 2000000' | wc -l)
  [ "$late" = 0 ] || echo "$late requests ran in w2 more than 2 s after the drain;"
  [ "$(total answered)" = "$(total asked)" ] || echo "not every request was answered;"
}
