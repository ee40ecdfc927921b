#!/usr/bin/env bash
# Starts stubs of the surrounding systems (bin/standin) and four daemons in three data
# centres on loopback, sends calls, runs a rollout plan, and checks the guarantees. Exits
# with a non-zero status if one was violated. DEMO_PORT sets the base port; with KEEP set,
# the logs are kept.
set -euo pipefail
cd "$(dirname "$0")/.."
base_port=${DEMO_PORT:-17000}
run_dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "${KEEP:-}" ]; then echo "logs kept in $run_dir"; else rm -rf "$run_dir"; fi
}
trap cleanup EXIT
address() { # PORT_OFFSET
  echo "127.0.0.1:$((base_port + $1))"
}
start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

# Host list: name, kind, service, data centre, region, port offset.
hosts="engine-1 model crew-match genova liguria 110
engine-2 model crew-match genova liguria 111
engine-3 model crew-match la-spezia liguria 112
engine-4 model crew-match la-spezia liguria 113
engine-5 model crew-match chioggia adriatico 114
engine-6 model crew-match chioggia adriatico 115
roster-1 plain roster genova liguria 120
roster-2 plain roster la-spezia liguria 121
roster-3 plain roster chioggia adriatico 122
scorer-1 plain scorer genova liguria 130
genova-1 daemon - genova liguria 11
genova-2 daemon - genova liguria 12
la-spezia-1 daemon - la-spezia liguria 13
chioggia-1 daemon - chioggia adriatico 14"
{
  echo "["
  comma=""
  while read -r id kind service centre region port; do
    printf '%s{"id":"%s","kind":"%s","service":"%s","location":{"data_centre":"%s","region":"%s"},"address":"%s"}\n' \
      "$comma" "$id" "$kind" "${service#-}" "$centre" "$region" "$(address "$port")"
    comma=","
  done <<<"$hosts"
  echo "]"
} >"$run_dir/hosts.json"

start_process log bin/standin log --listen "$(address 100)"
start_process hosts bin/standin hosts --listen "$(address 101)" --file "$run_dir/hosts.json"
start_process store bin/standin store --listen "$(address 102)"
for number in 1 2 3 4 5 6; do
  start_process "engine-$number" bin/standin engine --listen "$(address $((109 + number)))"
done
for number in 1 2 3; do
  start_process "roster-$number" bin/standin plain --listen "$(address $((119 + number)))"
done
start_process scorer bin/standin plain --listen "$(address 130)"

entries=()
operators=()
start_daemon() { # NAME DATA_CENTRE REGION NUMBER
  cat >"$run_dir/$1.ini" <<INI
[host]
id = $1
data_centre = $2
region = $3
home_region = liguria

[listen]
callers = $(address "$4")
peers = $(address $((10 + $4)))
operators = $(address $((20 + $4)))
advertised = $(address $((10 + $4)))

[platform]
log = http://$(address 100)
hosts = http://$(address 101)
weights = http://$(address 102)

[times]
drain_wait = 1s
INI
  start_process "$1" bin/gypsumhook serve --config "$run_dir/$1.ini"
  entries+=(--entry "http://$(address "$4")")
  operators+=(--operators "http://$(address $((20 + $4)))")
}
start_daemon genova-1 genova liguria 1
start_daemon genova-2 genova liguria 2
start_daemon la-spezia-1 la-spezia liguria 3
start_daemon chioggia-1 chioggia adriatico 4

wait_for() { # CONDITION COMMAND...
  local condition=$1
  shift
  for _ in $(seq 1 50); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.2
  done
  echo "FAILED: $condition" >&2
  exit 1
}
for number in 1 2 3 4; do
  wait_for "host $number is ready" curl -sf "http://$(address $number)/readyz"
done

export GYPSUMHOOK_SERVER
GYPSUMHOOK_SERVER=$(address 21)
echo "== services and a plan"
bin/gypsumhook service create crew-match --operator demo --kind model --model crew --follow-weights --fenced
bin/gypsumhook service create roster --operator demo --kind plain
bin/gypsumhook service create scorer --operator demo --kind plain
bin/gypsumhook plan create season --operator demo --service crew-match --scorer scorer --groups 8 --group-size 4 --max-tokens 48
# The status lists the revision of the daemon that returns it and those of the four hosts.
is_in_force() { # REVISION
  [ "$(bin/gypsumhook status --output json | grep -c "\"revision\": *\"$1\"")" -ge 5 ]
}
wait_for "revision 4 is in force on all hosts" is_in_force 4

echo "== calls through all hosts, two steps of the plan with new weights between them"
start_process trainer bin/standin trainer "${entries[@]}" --store "http://$(address 102)" \
  --steps 2 --slots 32 --train-time 1500ms --report "$run_dir/trainer.json"
bin/standin demo "${entries[@]}" "${operators[@]}" --ledger "http://$(address 120)" --ledger "http://$(address 121)" --ledger "http://$(address 122)" \
  --for 10s --trainer-report "$run_dir/trainer.json" &
driver=$!

sleep 2
echo "== an operator's change"
before=$(date +%s%N)
bin/gypsumhook service change roster --operator demo --max-queue 128
wait_for "revision 5 is in force on all hosts" is_in_force 5
echo "in force on all hosts after $((($(date +%s%N) - before) / 1000000)) ms"

sleep 2
echo "== graceful stop of genova-2"
kill -TERM "$pid_genova_2"
if ! wait "$pid_genova_2"; then
  echo "FAILED: genova-2 did not stop cleanly" >&2
  exit 1
fi
echo "genova-2 stopped"
wait "$driver"
bin/gypsumhook status
