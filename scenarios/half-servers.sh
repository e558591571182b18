must="when half of the servers of two services are killed, no request is lost or run twice, and the other half answers callers"
seconds=7
during() {
  sleep 2
  deployment signal KILL backend-{availability,repair}-{w1,e1,n1}
}
check() {
  # Idempotent requests are retried, at most a tenth of them by the retry
  # budget.
  awk -v a="$(total answered)" -v n="$(total asked)" 'BEGIN { exit !(a >= 0.95 * n) }' ||
    echo "$(total answered) of $(total asked) requests were answered;"
}
