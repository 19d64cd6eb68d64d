#!/usr/bin/env bash
# Compares placement policies: four engines with 8 slots each get a steady load
# of normal chats and concurrent short urgent chats, for each policy and condition:
#   scripts/placement.sh [POLICY...]
# Prints a row per run: time to first token and answered requests of urgent and
# normal chats, and cache hits.
set -euo pipefail
cd "$(dirname "$0")/.."
policies=("$@")
[ ${#policies[@]} -gt 0 ] || policies=(weighted round_robin least_outstanding)
capacity=${CAPACITY:-300} # normal chats per second that the engines can serve
seconds=${SECONDS_EACH:-6}
row() { # policy condition percent
  (
    export DEMO_ONLY_START=1 DEMO_ENGINES=4 DEMO_SLOTS=8 DEMO_PLACEMENT=$1
    export DEMO_ENGINE_ARGS="--token 5ms --prefill 20ms --cache 24"
    # shellcheck disable=SC1091
    source scripts/demo.sh >/dev/null
    tool budget topup --id measure masar 1000000000 >/dev/null
    urls=(--ca "$dir/tls/ca.pem" --url https://127.0.0.1:7001 --url https://127.0.0.1:7002)
    load() { tool load --json "${urls[@]}" --key clerks-key --duration "${seconds}s" "$@"; }
    load --callers 16 --rate 20 --priority urgent --max-tokens 4 --prompts 8 --duration 3s >"$dir/idle.json"
    case $2 in
    slow) curl -s -d '{"slow":4}' http://127.0.0.1:7302/admin/faults ;;
    stuck) curl -s -d '{"stuck":-1}' http://127.0.0.1:7302/admin/faults ;;
    esac
    load --callers 128 --rate "$((capacity * $3 / 100))" --prompts 64 >"$dir/normal.json" &
    pid=$!
    load --callers 32 --rate 20 --priority urgent --max-tokens 4 --prompts 8 >"$dir/urgent.json"
    wait "$pid"
    value() { grep -A5 '"first_token"' "$dir/$1.json" | grep "\"$2\"" | head -1 | grep -o '[0-9.]*' | tail -1; }
    count() { grep "\"$2\"" "$dir/$1.json" | head -1 | grep -o '[0-9]*' | tail -1; }
    hits=0 runs=0
    for port in 7301 7302 7304 7305; do
      h=$(curl -s "http://127.0.0.1:$port/admin/runs" | grep -o '"hits":[0-9]*' | cut -d: -f2)
      r=$(curl -s "http://127.0.0.1:$port/admin/runs" | grep -o '"id"' | wc -l)
      hits=$((hits + h)) runs=$((runs + r))
    done
    echo "| $1 | $2 $3% | $(value idle p99_ms) | $(value urgent median_ms) / $(value urgent p99_ms) | $(value normal median_ms) / $(value normal p99_ms) | $(count urgent answers) of $(count urgent requests) | $(count normal answers) of $(count normal requests) | $((100 * hits / runs))% |" >&3
  ) 3>&1 >/dev/null 2>&1
}
echo "| policy | load | urgent, idle p99 | urgent first token, median / p99 ms | normal first token | urgent answered | normal answered | cache hits |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
for p in "${policies[@]}"; do
  for c in "steady 50" "steady 90" "steady 120" "slow 50" "stuck 50"; do
    # shellcheck disable=SC2086
    row "$p" $c
  done
done
