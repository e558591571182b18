must="each request of a burst is answered or refused as not-run, and no server gets more requests than its slots"
# 600 bookings arrive within 20 ms; each occupies one of the 60 slots for 50 ms.
load_services=("availability rate=300 deadline_ms=3000"
  "booking once=1 rate=60 burst=600 burst_every_ms=2000 burst_ms=20 deadline_ms=3000 patience_ms=2500 body_bytes=300")
check() {
  [ "$(total failed)" = 0 ] || echo "$(total failed) requests failed;"
  [ "$(total over)" = 0 ] || echo "$(total over) requests arrived at servers without a free slot;"
}
