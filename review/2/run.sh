#!/bin/bash
# One of three servers breaks off one answer in 50 inside its head, after the
# line with its receipt.  Does a client get a success that is not the server's
# whole answer?  TROUBLE=0: no answer is broken off.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: without the disruption
. "$here/../standin/lib.sh"

fault=none
[ "$trouble" = 0 ] || fault=cut-head
for i in 0 1 2; do start_core $i; done
start_edge 0
manifest 1 /book/=bookdesk > "$work/manifest"
until_true 20 order POST /Config.Put "$work/manifest" || cannot_run "no manifest in force"
start_server s1 1 bookdesk 20 $fault
for i in 2 3; do start_server "s$i" $i bookdesk 20 none; done
until_true 20 edge_ready 0 || cannot_run "the entry daemon is not ready"
sleep 4

mkfifo "$work/go"
"$stand" client "$net.21:8080" shop.example /book/ "$record" 900 5 0 2500 < "$work/go" &
client=$!
pids+=($client)
echo go > "$work/go"
wait $client
result=$?
[ "$(grep -c "the server's body" "$record")" -gt 10 ] || cannot_run "hardly any request was served"
log "exit $result"
exit $result
