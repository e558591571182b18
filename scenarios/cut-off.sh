must="no request is lost or run twice while the processes of a failure domain are stopped, and after they continue"
seconds=7
during() {
  local all
  # Stopped processes simulate a failure domain that is cut off from the
  # network, because no tools for the network are available.
  all=(entry-4 backend-{availability,booking,repair,checkin}-e2)
  sleep 2
  deployment signal STOP "${all[@]}"
  sleep 3
  deployment signal CONT "${all[@]}"
}
