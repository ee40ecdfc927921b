#!/usr/bin/env bash
# Starts the stand-ins and four daemons in three data centres on loopback, runs
# the main job, and checks the promises. Exits non-zero if one was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
base=${DEMO_PORT:-17000}
run=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "${KEEP:-}" ]; then echo "logs kept in $run"; else rm -rf "$run"; fi
}
trap cleanup EXIT
at() { echo "127.0.0.1:$((base + $1))"; }
start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}

# Host list: name, kind, service, data centre, region, port.
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
      "$comma" "$id" "$kind" "${service#-}" "$centre" "$region" "$(at "$port")"
    comma=","
  done <<<"$hosts"
  echo "]"
} >"$run/hosts.json"

start log bin/standin log --listen "$(at 100)"
start hosts bin/standin hosts --listen "$(at 101)" --file "$run/hosts.json"
start store bin/standin store --listen "$(at 102)"
for number in 1 2 3 4 5 6; do
  start "engine-$number" bin/standin engine --listen "$(at $((109 + number)))"
done
for number in 1 2 3; do
  start "roster-$number" bin/standin plain --listen "$(at $((119 + number)))"
done
start scorer bin/standin plain --listen "$(at 130)"

entries=()
operators=()
daemon() { # NAME CENTRE REGION NUMBER
  cat >"$run/$1.ini" <<INI
[host]
id = $1
data_centre = $2
region = $3
home_region = liguria

[listen]
callers = $(at "$4")
peers = $(at $((10 + $4)))
operators = $(at $((20 + $4)))
advertised = $(at $((10 + $4)))

[platform]
log = http://$(at 100)
hosts = http://$(at 101)
weights = http://$(at 102)

[times]
drain_wait = 1s
INI
  start "$1" bin/gypsumhook serve --config "$run/$1.ini"
  entries+=(--entry "http://$(at "$4")")
  operators+=(--operators "http://$(at $((20 + $4)))")
}
daemon genova-1 genova liguria 1
daemon genova-2 genova liguria 2
daemon la-spezia-1 la-spezia liguria 3
daemon chioggia-1 chioggia adriatico 4

await() { # WHAT COMMAND...
  local what=$1
  shift
  for _ in $(seq 1 50); do
    if "$@" >/dev/null 2>&1; then return; fi
    sleep 0.2
  done
  echo "FAILED: $what" >&2
  exit 1
}
for number in 1 2 3 4; do
  await "host $number is ready" curl -sf "http://$(at $number)/readyz"
done

export GYPSUMHOOK_SERVER
GYPSUMHOOK_SERVER=$(at 21)
echo "== services and a plan"
bin/gypsumhook service create crew-match --operator demo --kind model --model crew --follow-weights --fenced
bin/gypsumhook service create roster --operator demo --kind plain
bin/gypsumhook service create scorer --operator demo --kind plain
bin/gypsumhook plan create season --operator demo --service crew-match --scorer scorer --groups 8 --group-size 4 --max-tokens 48
in_force() { # REVISION
  [ "$(bin/gypsumhook status --output json | grep -c "\"revision\": *\"$1\"")" -ge 5 ]
}
await "revision 4 is in force on all hosts" in_force 4

echo "== calls through all hosts, two steps of the plan with new weights between them"
start trainer bin/standin trainer "${entries[@]}" --store "http://$(at 102)" \
  --steps 2 --slots 32 --train-time 1500ms --report "$run/trainer.json"
bin/standin demo "${entries[@]}" "${operators[@]}" --ledger "http://$(at 120)" --ledger "http://$(at 121)" --ledger "http://$(at 122)" \
  --for 10s --trainer-report "$run/trainer.json" &
driver=$!

sleep 2
echo "== an operator's change"
before=$(date +%s%N)
bin/gypsumhook service change roster --operator demo --max-queue 128
await "revision 5 is in force on all hosts" in_force 5
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
