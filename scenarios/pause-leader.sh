must="tickets are put in force while the control leader is paused and after it continues, and each has a unique number"
seconds=8
during() {
  local n leader
  leader=$(deployment leader)
  sleep 1
  deployment signal STOP "$leader"
  for n in 1 2 3; do
    echo "{\"title\": \"limit $n\", \"author\": \"ada\", \"against\": $n, \"set\": {\"limits/booking-west\": {\"service\": \"booking\", \"region\": \"west\", \"max_in_flight\": 5$n}}}" >"$dir/t$n.json"
    deployment ticket "$dir/t$n.json"
    [ "$n" != 2 ] || deployment signal CONT "$leader"
  done
}
check() {
  [ "$(sort -u "$dir/numbers" | wc -l)" = 4 ] || echo "the four tickets got the numbers $(paste -sd' ' "$dir/numbers");"
}
