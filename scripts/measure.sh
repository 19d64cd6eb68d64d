#!/usr/bin/env bash
# Starts the system of demo.sh and runs a load against it:
#   scripts/measure.sh CALLERS DURATION [more options of "sumachead load"]
# Prints the report of the load, and the memory and processor time of each process.
set -euo pipefail
cd "$(dirname "$0")/.."
callers=$1 duration=$2
shift 2
DEMO_ONLY_START=1 source scripts/demo.sh
"$bin/sumachead" budget topup --id measure masar 1000000000
say "load: $callers callers, $duration"
tool load --ca "$dir/tls/ca.pem" --url https://127.0.0.1:7001 --url https://127.0.0.1:7002 --key clerks-key --budget masar \
  --direct http://127.0.0.1:7301 --callers "$callers" --duration "$duration" "$@"
say "memory and processor time"
for name in $(printf '%s\n' "${!pid_of[@]}" | sort); do
  ps -o rss=,cputimes= -p "${pid_of[$name]}" | awk -v n="$name" '{printf "%-12s %6.1f MB resident, %4d s of processor\n", n, $1/1024, $2}'
done
