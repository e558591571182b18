must="a request that crashes servers crashes at most 3 servers of each region"
seconds=8
load_services=("availability rate=200 deadline_ms=3000"
  "booking once=1 rate=40 deadline_ms=3000 patience_ms=1500 body_bytes=300"
  "availability rate=0 burst=3 burst_every_ms=1000 burst_ms=500 crash_ms=2000 tries=4 deadline_ms=3000")
check() {
  local region n
  for region in w e n; do
    n=$(records crash "[a-z]*-$region" | awk '{ print $5 }' | sort -u | wc -l)
    [ "$n" -le 3 ] || echo "$n servers of region $region crashed;"
  done
  [ -n "$(records crash '')" ] || echo "no server crashed, the scenario proves nothing;"
}
