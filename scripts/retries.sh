#!/usr/bin/env bash
# Measures retries under a steady load on three engines, of which one is killed
# with its agent after 3 s. Prints the report of the load and the total attempts,
# requests and retries:
#   scripts/retries.sh
set -euo pipefail
cd "$(dirname "$0")/.."
export DEMO_ONLY_START=1 DEMO_ENGINES=3 DEMO_SLOTS=32
# shellcheck disable=SC1091
source scripts/demo.sh >/dev/null
tool budget topup --id measure masar 1000000000 >/dev/null
tool load --ca "$dir/tls/ca.pem" --url https://127.0.0.1:7001 --url https://127.0.0.1:7002 --key clerks-key \
  --callers 100 --rate 200 --prompts 32 --duration 10s >"$dir/load.txt" &
load=$!
sleep 3
kill -9 "${pid_of[agent-1]}" "${pid_of[engine-1]}"
wait "$load"
total() { # metric
  for p in 7001 7002; do curl -s --cacert "$dir/tls/ca.pem" "https://127.0.0.1:$p/metrics"; done |
    grep "^$1" | awk '{s += $2} END {print s + 0}'
}
cat "$dir/load.txt"
requests=$(total sumachead_router_request_seconds_count)
echo "attempts $(total sumachead_router_attempts_total) for $requests requests, retries $(total sumachead_router_retries_total)"
