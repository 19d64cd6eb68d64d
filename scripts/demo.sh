#!/usr/bin/env bash
# Starts three keepers, two routers, three agents and their simulated backend
# servers on loopback, with TLS between all of them. Sends requests, kills the
# leading keeper, sends more requests, checks the bills of all budgets and stops
# everything. Exits non-zero if a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$(mktemp -d)
pids=()
declare -A pid_of

finish() {
  status=$?
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -ne 0 ]; then
    echo "demo: failed; the logs:" >&2
    tail -n 15 "$dir"/*.log >&2 || true
  fi
  rm -rf "$dir"
  exit "$status"
}
trap finish EXIT

keepers='[{"id":"keeper-1","hall":"hall-1","address":"127.0.0.1:7101"},
 {"id":"keeper-2","hall":"hall-2","address":"127.0.0.1:7102"},
 {"id":"keeper-3","hall":"hall-3","address":"127.0.0.1:7103"}]'
tls() { # name
  echo "{\"ca\":\"$dir/tls/ca.pem\",\"cert\":\"$dir/tls/$1.pem\",\"key\":\"$dir/tls/$1-key.pem\"}"
}

start() { # name command...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  pid_of[$name]=$!
}

daemon() { # name role hall fields
  cat >"$dir/$1.json" <<EOF
{"role":"$2","node":"$1","hall":"$3","keepers":$keepers,"tls":$(tls "$1"),$4}
EOF
  start "$1" "$bin/sumacheadd" --config "$dir/$1.json"
}

wait_for() { # seconds what command...
  local until=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$until" ] || { echo "demo: timed out waiting for $what" >&2; exit 1; }
    sleep 0.1
  done
}

say() { printf '\n== %s\n' "$*"; }

if [ $((${DEMO_ENGINES:-2})) -gt 6 ]; then echo "demo: at most 6 engines" >&2; exit 2; fi
say "starting"
"$bin/sumachead" tls init --dir "$dir/tls" --address 127.0.0.1 keeper-{1..3} router-{1,2} agent-{1..7} operator
for i in 1 2 3; do
  daemon "keeper-$i" keeper "hall-$i" "\"rpc\":\"127.0.0.1:710$i\",\"http\":\"127.0.0.1:711$i\",\"data\":\"$dir/keeper-$i\""
done
# Benchmark scripts set the number of engines, the slots and the placement.
slots=${DEMO_SLOTS:-16}
placement=${DEMO_PLACEMENT:-weighted}
engines=$((${DEMO_ENGINES:-2} + 0))
cp examples/settings.json "$dir/settings.json"
sed -i "s/\"slots\": 16/\"slots\": $slots/" "$dir/settings.json"
agent() { # number server hall
  daemon "agent-$1" agent "$3" "\"rpc\":\"127.0.0.1:720$1\",\"http\":\"127.0.0.1:721$1\",\"agent\":{\"server\":\"$2\",\"backend\":\"http://127.0.0.1:730$1\"}"
}
start engine-1 "$bin/sumachead-standin" --listen 127.0.0.1:7301 --slots "$slots" ${DEMO_ENGINE_ARGS:-}
start engine-2 "$bin/sumachead-standin" --listen 127.0.0.1:7302 --slots "$slots" ${DEMO_ENGINE_ARGS:-}
start booking "$bin/sumachead-standin" --listen 127.0.0.1:7303 --kind service
agent 1 assistant-1 hall-1
agent 2 assistant-2 hall-2
agent 3 booking-1 hall-1
for ((i = 4; i < 2 + engines; i++)); do
  hall=hall-$((i % 3 + 1))
  start "engine-$i" "$bin/sumachead-standin" --listen "127.0.0.1:730$i" --slots "$slots" ${DEMO_ENGINE_ARGS:-}
  agent "$i" "assistant-$i" "$hall"
  sed -i "s#\"servers\": {#&\n    \"assistant-$i\": {\"pool\": \"assistant\", \"hall\": \"$hall\", \"agent\": \"127.0.0.1:720$i\", \"slots\": $slots, \"epoch\": 1},#" "$dir/settings.json"
done
daemon router-1 router hall-1 "\"http\":\"127.0.0.1:7001\",\"placement\":\"$placement\""
daemon router-2 router hall-2 "\"http\":\"127.0.0.1:7002\",\"placement\":\"$placement\""
cat >"$dir/tool.json" <<EOF
{"keepers":$keepers,"tls":$(tls operator)}
EOF
export SUMACHEAD_CONFIG=$dir/tool.json
tool() { "$bin/sumachead" "$@"; }

wait_for 20 "a leader" curl -sf http://127.0.0.1:7111/readyz
# Readiness covers only the system's own processes, not the simulated backend
# servers.
for ((i = 1; i < 2 + engines || i <= 3; i++)); do
  wait_for 10 "the simulated server on port 730$i" curl -sf "http://127.0.0.1:730$i/admin/runs"
done

say "applying the settings tree"
tool settings check "$dir/settings.json"
tool settings apply "$dir/settings.json"
wait_for 10 "routers" curl -sf --cacert "$dir/tls/ca.pem" https://127.0.0.1:7001/readyz
wait_for 10 "routers" curl -sf --cacert "$dir/tls/ca.pem" https://127.0.0.1:7002/readyz

chat() { # router key
  curl -sS --cacert "$dir/tls/ca.pem" --max-time 20 -N "https://127.0.0.1:$1/v1/chat/completions" -H 'Authorization: Bearer clerks-key' \
    -H "Idempotency-Key: $2" -H 'Content-Type: application/json' \
    -d '{"model":"assistant","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Plan a trip from Ajloun to the clinic."}]}'
}
hold() { # router key
  curl -sS --cacert "$dir/tls/ca.pem" --max-time 20 "https://127.0.0.1:$1/v1/services/booking/holds" -H 'Authorization: Bearer clerks-key' \
    -H "Idempotency-Key: $2" -H 'Sumachead-Not-Repeatable: true' -H 'Sumachead-Priority: urgent' \
    -H 'Content-Type: application/json' -d '{"seat":4}'
}
expect() { # what want got
  if [ "$2" != "$3" ]; then echo "demo: $1: want $2, got $3" >&2; exit 1; fi
  echo "ok: $1 = $3"
}

if [ -n "${DEMO_ONLY_START:-}" ]; then return 0; fi

say "a streamed chat and a booking"
chat 7001 chat-1 | tee "$dir/chat-1" | tail -n 4
expect "end marks in the stream" 1 "$(grep -c '^data: \[DONE\]' "$dir/chat-1")"
hold 7001 hold-1 | tee "$dir/hold-1"

say "the same keys again, at the other router"
chat 7002 chat-1 >"$dir/chat-1b"
hold 7002 hold-1 >"$dir/hold-1b"
cmp "$dir/chat-1" "$dir/chat-1b" && echo "ok: the same whole answer"
cmp "$dir/hold-1" "$dir/hold-1b" && echo "ok: the same booking"

say "killing the leading keeper"
leader=$(tool status --json | grep -o '"leader": *"[^"]*"' | sort | uniq -c | sort -rn | head -1 | cut -d'"' -f4)
echo "leader: $leader"
kill -9 "${pid_of[$leader]}"
chat 7002 chat-2 >"$dir/chat-2"
expect "end marks in the stream" 1 "$(grep -c '^data: \[DONE\]' "$dir/chat-2")"
hold 7001 hold-2 >/dev/null

say "a load of 32 callers"
tool load --ca "$dir/tls/ca.pem" --url https://127.0.0.1:7001 --url https://127.0.0.1:7002 --key bays-key --budget consortium --callers 32 --duration 3s

say "the ledger"
settled() { tool budget show --json masar | grep -q '"reserved": *"0"'; }
wait_for 10 "the last bills" settled
tool budget show
spent() { tool budget show --json "$1" | grep -o '"spent": *"[0-9]*"' | grep -o '[0-9]*'; }
used() { # tokens that the simulated engines generated for a workspace
  for port in 7301 7302; do curl -s "http://127.0.0.1:$port/admin/runs"; done |
    grep -o "{\"id\":\"$1/[^}]*}" | grep -o '"tokens":[0-9]*' | cut -d: -f2 | awk '{s+=$1} END {print s+0}'
}
runs=$(curl -s http://127.0.0.1:7303/admin/runs | grep -o '"id":"clerks/' | wc -l)
expect "bookings that ran" 2 "$runs"
expect "masar's bill" "$(($(used clerks) + 20))" "$(spent masar)"
expect "the consortium's bill" "$(used bays)" "$(spent consortium)"
expect "violations" 0 "$(tool budget show --json | grep -o '"violations": *"[0-9]*"' | grep -o '[0-9]*')"

say "stopping"
for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
pids=()
echo "demo: all figures are right"
