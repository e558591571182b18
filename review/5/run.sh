#!/bin/bash
# A server that reports to one control daemon deregisters at another one and
# gets its acknowledgement.  Then the zone of that other control daemon, with one
# of two entry daemons, loses power for a second.  Does the entry daemon send
# requests to the server once it is in touch again?
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../standin/lib.sh"

contact=3000 # ms, of slanchevo-lb
drain=2500
for i in 0 1 2; do start_core $i; done
for i in 0 1; do start_edge $i; done
manifest 1 /book/=bookdesk > "$work/manifest"
until_true 20 order POST /Config.Put "$work/manifest" || cannot_run "no manifest in force"
start_server s1 1 bookdesk 20 none "$net.1.2:8085,$net.1.1:8085" east-a
for i in 2 3; do start_server "s$i" $i bookdesk 20 none "$net.1.3:8085" east-a; done
for i in 0 1; do until_true 20 edge_ready $i || cannot_run "entry daemon $i is not ready"; done
sleep 6

log "server i-s1 leaves"
kill -USR1 "$pid_s1"
until_true 5 grep -q "i-s1: deregistration at .*: 200" "$record" || cannot_run "no acknowledgement"
acked=$(awk '/i-s1: deregistration at .*: 200/ { print $1; exit }' "$record")
if [ "$trouble" != 0 ]; then
  log "zone west-a loses power: SIGKILL to control 0 and entry daemon 0"
  kill -KILL "$pid_core0" "$pid_edge0"
  wait "$pid_core0" "$pid_edge0" 2> /dev/null
  sleep 1
  log "both start again"
  start_core 0 false
  start_edge 0 false
fi
started=$(awk '{printf "%d", $1 * 1000}' /proc/uptime)
until_true 10 edge_ready 0 || cannot_run "entry daemon 0 is not ready again"

mkfifo "$work/go"
"$stand" client "$net.2.1:8080" shop.example /book/ "$record" 160 50 0 3000 < "$work/go" &
client=$!
pids+=($client)
echo go > "$work/go"
wait $client
# Requests that were sent when the entry daemon had been in touch for a while,
# and that the server began later than drain after the acknowledgement.
from=$((started + contact + 300))
[ $from -gt $((acked + drain)) ] || from=$((acked + drain))
broken=$(awk -v from=$from '/client sends/ { sent[$4] = $1 }
  /server i-s1 runs/ && sent[$5] > from { n++ } END { print n + 0 }' "$record")
log "acknowledged at $acked; requests that were sent after $from and reached i-s1: $broken"
result=0
[ "$broken" = 0 ] || result=1
log "exit $result"
exit $result
