must="callers do not notice a planned stop of two entry VMs: every request is answered"
seconds=7
during() {
  sleep 2
  deployment signal TERM entry-1 entry-3
}
check() {
  [ "$(total answered)" = "$(total asked)" ] || echo "not every request was answered;"
  [ "$(cat "$dir/entry-1.exit" "$dir/entry-3.exit" | sort -u)" = 0 ] || echo "an entry daemon did not end with exit status 0;"
}
