must="half of the servers of two services die: nothing is lost or doubled, and callers get answers from the other half"
seconds=7
during() {
  sleep 2
  deployment signal KILL backend-{availability,repair}-{w1,e1,n1}
}
check() {
  # Idempotent requests are retried within the retry budget of a tenth.
  awk -v a="$(total answered)" -v n="$(total asked)" 'BEGIN { exit !(a >= 0.95 * n) }' ||
    echo "$(total answered) of $(total asked) requests were answered;"
}
