must="no request is lost or run twice when an entry VM is killed, and its backend servers get requests through another entry VM"
seconds=8
during() {
  sleep 2
  now_us >"$dir/killed"
  deployment signal KILL entry-1
}
check() {
  # Both entry VMs of w1 may have owned its servers.  After 5 s, the missing
  # announcements have been noticed, the old leases have expired, and the
  # preferred entry VM has answered.
  [ "$(records ran '[a-z]*-w1-' | awk -v t="$(cat "$dir/killed")" '$4 > t + 5000000' | wc -l)" -gt 0 ] ||
    echo "the servers of w1 got no requests after the kill;"
}
