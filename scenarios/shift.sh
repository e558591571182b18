must="a shift moves blocks in steps that are logged, the share moved stays within the cap, and every request is answered"
seconds=5
during() {
  echo '{"title": "shift w1 to w2", "author": "ada", "against": 1, "set": {"shift/w": {"from": "w1", "to": "w2", "share": 0.5, "cap_per_minute": 0.4}}}' \
    >"$dir/shift.json"
  deployment ticket "$dir/shift.json"
  sleep 3
  # The share that the leader reports as moved.
  "$build/zpctl" --server "127.$(cat "$dir/net").1.1:7002,127.$(cat "$dir/net").1.2:7002,127.$(cat "$dir/net").1.3:7002" \
    status >"$dir/shift.status"
}
check() {
  local moved
  moved=$(sed -n 's/^shift w .*moved \([0-9.]*\),.*/\1/p' "$dir/shift.status")
  awk -v m="${moved:-0}" 'BEGIN { exit !(m > 0 && m <= 0.4) }' ||
    echo "the share moved is ${moved:-not known}, allowed: above 0 up to 0.4;"
  grep -hos 'shift w moves [0-9.]*' "$dir"/entry-*.log >"$dir/shift.moves" || echo "no entry daemon moved blocks;"
  awk '$4 > 0.4 { exit 1 }' "$dir/shift.moves" || echo "an entry daemon moved more than the cap;"
  [ "$(total answered)" = "$(total asked)" ] || echo "not every request was answered;"
}
