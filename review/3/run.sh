#!/bin/bash
# One of three control machines is down for some 5 s, in which manifests are
# sent and acknowledged.  Then the processes of the other two are killed at the same
# moment; one of them and the machine that was down start again, the third
# stays down.  Does a read show the newest acknowledged manifest, or an older
# one?  TROUBLE=0: the same changes, without any kill.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: without the disruption
. "$here/../standin/lib.sh"

changes=980
before=690 # of them while all machines are up
for i in 0 1 2; do start_core $i; done
manifest 1 /book/=s1 > "$work/manifest"
until_true 20 order POST /Config.Put "$work/manifest" || cannot_run "no manifest in force"

address() { echo "$net.1$(($1 + 1)):8085"; }
find_leader() { # the one that answers a read itself
  for leader in 0 1 2; do
    STAY=1 "$stand" call "$(address $leader)" GET /Config.Get > /dev/null 2>&1 && return 0
  done
  return 1
}
until_true 20 find_leader || cannot_run "no leader"
late=$(((leader + 1) % 3))
lost=$(((leader + 2) % 3))
log "control $leader leads; $late is down during the changes; $lost is lost later"

kill_core() { # INDEX: without a chance to clean up, like a loss of power
  local pid=pid_core$1
  log "SIGKILL to control $1"
  kill -KILL "${!pid}"
  wait "${!pid}" 2> /dev/null
}
"$stand" fill "$(address $leader)" "$record" 2 $before 400 || cannot_run "a manifest was not acknowledged"
[ "$trouble" = 0 ] || kill_core "$late"
"$stand" fill "$(address $leader)" "$record" $((before + 1)) $changes 400 || cannot_run "a manifest was not acknowledged"
# Longer than configApply, 2.5 s, after the newest acknowledgement.
sleep 2.6
if [ "$trouble" != 0 ]; then
  kill_core "$leader"
  kill_core "$lost"
  log "control $leader and $late start"
  start_core "$leader" false
  start_core "$late" false
fi
"$stand" watch "$record" 5 $changes "$(address $leader)" "$(address $late)"
result=$?
log "exit $result"
exit $result
