#!/bin/bash
# All machines of the system lose power for a second.  A server, which runs on,
# deregisters when they are back, and is acknowledged.  3 s later a report that
# it sent before arrives.  Do entry daemons that are in touch send requests to
# the server?  TROUBLE=0: without the loss of power.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: without the disruption
. "$here/../standin/lib.sh"

contact=3000 # ms, of slanchevo-lb
drain=2500
for i in 0 1 2; do start_core $i; done
for i in 0 1; do start_edge $i; done
manifest 1 /book/=bookdesk > "$work/manifest"
until_true 20 order POST /Config.Put "$work/manifest" || cannot_run "no manifest in force"
start_server s1 1 bookdesk 20 none "$net.11:8085,$net.11:8085"
for i in 2 3; do start_server "s$i" $i bookdesk 20 none; done
for i in 0 1; do until_true 20 edge_ready $i || cannot_run "entry daemon $i is not ready"; done
sleep 5

if [ "$trouble" != 0 ]; then
  log "all control and entry daemons lose power"
  # shellcheck disable=SC2154
  set -- "$pid_core0" "$pid_core1" "$pid_core2" "$pid_edge0" "$pid_edge1"
  kill -KILL "$@"
  wait "$@" 2> /dev/null
fi
log "server i-s1 leaves"
kill -USR1 "$pid_s1"
if [ "$trouble" != 0 ]; then
  sleep 1
  log "they start again"
  for i in 0 1 2; do start_core $i false; done
  for i in 0 1; do start_edge $i false; done
fi
started=$("$stand" now)
until_true 10 grep -q "i-s1: deregistration at .*: 200" "$record" || cannot_run "no acknowledgement"
acked=$(awk '/i-s1: deregistration at .*: 200/ { print $1; exit }' "$record")
for i in 0 1; do until_true 10 edge_ready $i || cannot_run "entry daemon $i is not ready again"; done

mkfifo "$work/go"
"$stand" client "$net.21:8080" shop.example /book/ "$record" 160 50 0 3000 < "$work/go" &
client=$!
pids+=($client)
echo go > "$work/go"
wait $client
# Requests that were sent when the daemons had been in touch for a while, and
# later than drain after the acknowledgement.
from=$((started + contact + 300))
[ $from -gt $((acked + drain)) ] || from=$((acked + drain))
broken=$(awk -v from=$from '/client sends/ { sent[$4] = $1 }
  /server i-s1 runs/ && sent[$5] > from { n++ } END { print n + 0 }' "$record")
log "acknowledged at $acked; requests that were sent after $from and reached i-s1: $broken"
result=0
[ "$broken" = 0 ] || result=1
log "exit $result"
exit $result
