#!/bin/bash
# An entry daemon is sent SIGTERM while its server works 1.8 s on each request.
# Clients that have kept their connection, and whose look-up is still good, send
# requests up to 4.6 s later.  Does each of them get a complete answer?
# TROUBLE=0: without the SIGTERM.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: without the disruption
. "$here/../standin/lib.sh"

for i in 0 1 2; do start_core $i; done
start_edge 0
manifest 1 /book/=bookdesk /warm/=bookdesk > "$work/manifest"
until_true 20 order POST /Config.Put "$work/manifest" || cannot_run "no manifest in force"
for i in 1 2 3 4; do start_server "s$i" $i bookdesk 1800 none; done
until_true 20 edge_ready 0 || cannot_run "the entry daemon is not ready"
sleep 4

# 23 requests, one each 0.2 s, from the SIGTERM to 4.4 s after it.
mkfifo "$work/go"
"$stand" client "$net.21:8080" shop.example /book/ "$record" 23 200 1 3000 < "$work/go" &
client=$!
pids+=($client)
exec 3> "$work/go"
until_true 20 grep -q "client is ready" "$record" || cannot_run "the client has no connections"
if [ "$trouble" != 0 ]; then
  log "SIGTERM to the entry daemon"
  kill -TERM "$pid_edge0"
  (sleep 6; kill -KILL "$pid_edge0" 2> /dev/null) &
  pids+=($!)
fi
echo go >&3
wait $client
result=$?
log "exit $result"
exit $result
