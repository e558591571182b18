must="a burst before term is answered or refused not-run, and no server is offered more than its slots"
# 600 bookings in 20 ms meet 60 slots of 50 ms.
mixes=("availability rate=300 deadline_ms=3000"
  "booking once=1 rate=60 burst=600 burst_every_ms=2000 burst_ms=20 deadline_ms=3000 patience_ms=2500 body_bytes=300")
check() {
  [ "$(total failed)" = 0 ] || echo "$(total failed) requests failed;"
  [ "$(total over)" = 0 ] || echo "$(total over) requests came above the slots;"
}
