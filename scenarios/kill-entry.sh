must="a killed entry VM loses and doubles nothing, and its servers get work through another one"
seconds=8
during() {
  sleep 2
  now_us >"$dir/killed"
  deployment signal KILL entry-1
}
check() {
  # Both entry VMs of w1 may have owned its servers; 5 s cover the missing
  # announcements, the old leases and the answers of the preferred entry VM.
  [ "$(records ran '[a-z]*-w1-' | awk -v t="$(cat "$dir/killed")" '$4 > t + 5000000' | wc -l)" -gt 0 ] ||
    echo "the servers of w1 got no work again;"
}
