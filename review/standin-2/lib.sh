# shellcheck shell=bash disable=SC2015,SC2034
# Shared by the scripts review/N/run.sh: starts a small deployment of three zones
# (three control daemons, two entry daemons) on loopback with the commands and
# templates of deploy/, and ends all that it started.
#
# The caller sets CASE, the folder of the case, and then sources this file.
# TROUBLE=0 leaves the disruption out.  Exit status: 0 the rule held, 1 it was
# broken, 2 the case could not run.

set -u
ROOT=$(cd "$CASE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
STANDIN=$ROOT/target/review-2
ZONES=(west-a east-a north-a)
REGIONS=(west east north)
CONTROL=8085
FRONT=8080
: >"$RECORD"
work=$(mktemp -d)
pids=()

# Milliseconds of a clock that never steps.
now_ms() {
  local up
  read -r up _ </proc/uptime
  echo "${up/./}0"
}
note() { echo "$(now_ms) $*" >>"$RECORD"; }
# The loops of "beat" end when their files are gone.
stop_all() {
  rm -f "$work"/*.beat
  [ ${#pids[@]} -eq 0 ] || kill -KILL "${pids[@]}" 2>/dev/null
  { wait; } 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 2' INT TERM
cannot() {
  note "cannot run: $*"
  echo "cannot run: $*" >&2
  exit 2
}
verdict() { # STATUS TEXT
  note "verdict: $2"
  echo "$2"
  exit "$1"
}

# A network of loopback addresses that nothing uses.
pick_net() {
  local try
  for try in 1 2 3 4 5 6 7 8 9 10; do
    net=127.$((64 + RANDOM % 64)).$((1 + RANDOM % 250))
    (exec 3<>"/dev/tcp/$net.11/$CONTROL") 2>/dev/null || return 0
  done
  cannot "no free addresses"
}

# Starts a process; sets PID.
start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  PID=$!
  pids+=("$PID")
  note "start $name pid $PID"
}

# Fills a template of deploy/ as the platform does.
settings() { # ROLE INDEX LAST-OCTET BOOTSTRAP
  local ip=$net.$3
  sed -e "s/{{nodeName|json}}/\"$1-$2\"/" \
    -e "s/{{zone|json}}/\"${ZONES[$2]}\"/" \
    -e "s/{{region|json}}/\"${REGIONS[$2]}\"/" \
    -e "s/{{bootstrap|json}}/$4/" \
    -e "s|{{dataDir.json}}|\"$work/data-$1-$2\"|" \
    -e "s/{{ip|json}}/\"$ip\"/" \
    -e "s/{{listen.control|json}}/\"$ip:$CONTROL\"/" \
    -e "s/{{listen.directory|json}}/\"$ip:8086\"/" \
    -e "s/{{listen.front|json}}/\"$ip:$FRONT\"/" \
    -e "s/{{listen.ready|json}}/\"$ip:8081\"/" \
    -e "s/{{internalPorts.0|json}}/7160/" \
    -e "s/{{heartbeat|json}}/\"1500ms\"/" \
    -e "s/{{bounds.grace|json}}/\"6s\"/" \
    -e "s/{{limits.linkMbps|json}}/1000.0/" \
    -e "s/{{bounds.retryRatio|json}}/0.2/" \
    -e "s/{{bounds.retrySlack|json}}/60/" \
    -e "s/{{#zones}}.*{{\/zones}}/\"west-a=west\",\"east-a=east\",\"north-a=north\"/" \
    -e "s/{{seeds|json}}/[\"$net.11:$CONTROL\",\"$net.12:$CONTROL\",\"$net.13:$CONTROL\"]/" \
    "$ROOT/deploy/$1.json.tmpl" >"$work/$1-$2.json"
  grep -q '{{' "$work/$1-$2.json" && cannot "deploy/$1.json.tmpl has an unknown field"
  return 0
}
start_core() { # INDEX BOOTSTRAP
  settings core "$1" $((11 + $1)) "$2"
  start "core-$1" "$ROOT/target/zp-core" --settings "$work/core-$1.json"
  core_pid[$1]=$PID
}
start_edge() { # INDEX BOOTSTRAP
  settings edge "$1" $((21 + $1)) "$2"
  start "edge-$1" "$ROOT/target/zp-edge" --settings "$work/edge-$1.json"
  edge_pid[$1]=$PID
}
declare -A core_pid edge_pid

start_deployment() {
  local n
  [ -x "$ROOT/target/zp-core" ] && [ -x "$ROOT/target/zp-edge" ] || cannot "build target/ first"
  [ -x "$STANDIN/server" ] || cannot "run review/build-2.sh first"
  pick_net
  for n in 0 1 2; do start_core $n true; done
  for n in 0 1; do start_edge $n true; done
}

# Sends an operator's order to the control daemons in turn until one
# acknowledges it, for 10 s.
order() { # PATH [BODY-FILE]
  local at=0 until status
  until=$(($(now_ms) + 10000))
  while [ "$(now_ms)" -lt $until ]; do
    status=$(curl -s -L -m 1 -o /dev/null -w '%{http_code}' -X POST ${2:+-H 'Content-Type: application/json' --data-binary "@$2"} "http://$net.$((11 + at % 3)):$CONTROL$1")
    note "order $1 to core-$((at % 3)) answer $status"
    case $status in 2*) return 0 ;; esac
    at=$((at + 1))
    sleep 0.2
  done
  return 1
}

# A server reports its state every 1.5 s, as long as the file NAME.beat holds a
# state; to the next control daemon after a failure.
beat() { # NAME SERVICE ZONE ADDRESS
  local seq=0 at=0 state status born
  born=$(date +%s%3N)
  while :; do
    state=$(cat "$work/$1.beat" 2>/dev/null) || return 0
    seq=$((seq + 1))
    status=$(curl -s -m 1 -o /dev/null -w '%{http_code}' -H 'Content-Type: application/json' \
      -d "{\"service\":\"$2\",\"address\":\"$4\",\"zone\":\"$3\",\"version\":\"v1\",\"capacity\":6,\"state\":\"$state\",\"warmupLeft\":\"0ms\",\"seq\":$seq,\"born\":$born}" \
      "http://$net.$((11 + at % 3)):$CONTROL/Instances.Heartbeat/$1")
    note "report $1 $state seq $seq to core-$((at % 3)) answer $status"
    case $status in
    2*)
      echo "$state" >"$work/$1.acked"
      sleep 1.5
      ;;
    *)
      at=$((at + 1))
      sleep 0.1
      ;;
    esac
  done
}
start_server() { # NAME SERVICE ZONE ADDRESS HEALTH-PATH FORM
  start "server-$1" "$STANDIN/server" "$1" "$4" "$5" "$6" "$work/servers.record"
  server_pid[$1]=$PID
  echo ready >"$work/$1.beat"
  beat "$1" "$2" "$3" "$4" &
}
declare -A server_pid

# Sends a request to an entry daemon; sets STATUS.
sent=0
request() { # EDGE METHOD PATH
  sent=$((sent + 1))
  local id
  id=$(printf 'c%015x' $sent)
  STATUS=$(curl -s -m 3 -o "$work/answer" -w '%{http_code}' -X "$2" -H "Host: review.example" -H "X-Request-Id: $id" -H "X-Deadline-Ms: 2000" "http://$net.$((21 + $1)):$FRONT$3")
  echo "$id" >>"$work/sent"
  note "request $id $2 $3 to edge-$1 answer $STATUS $(head -c 60 "$work/answer" | tr -d '\n')"
}
# Waits until an entry daemon serves a path.
wait_for() { # EDGE PATH
  local try
  for try in {1..80}; do
    request "$1" GET "$2"
    [ "$STATUS" = 200 ] && return 0
    sleep 0.2
  done
  cannot "edge-$1 does not serve $2"
}
