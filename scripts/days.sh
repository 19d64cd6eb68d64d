#!/usr/bin/env bash
# Runs the days in deploy/days on a site and prints a table. BENCH is the program of the bench
# and SITE a site file. Each day runs with its own seed or with each of SEEDS; VARY=1 varies
# its times and figures by the seed. ONLY is a pattern of the names of days to run. A day that
# does not fit the site is reported:
# BENCH=... [SEEDS="1 2 3"] [VARY=1] [ONLY='kind-evacuate*'] scripts/days.sh SITE [JOBS].
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1 jobs=${2:-4}
out=$(mktemp -d)
"$BENCH" build >/dev/null
for day in $(find deploy/days -maxdepth 1 -name "${ONLY:-*}.toml" | sort); do
  for seed in ${SEEDS:-own}; do
    echo "$day $seed"
  done
done | xargs -P "$jobs" -L1 sh -c '
  [ "$4" = own ] || given="--seed $4"
  "$0" run "$1" "$3" $given ${VARY:+--vary} --why "days of deploy/days" >"$2/$(basename "$3" .toml)-$4" 2>&1 || true
' "$BENCH" "$site" "$out"
for f in "$out"/*; do
  grep -A1 '^day  ' "$f" | tail -1 || echo "$(basename "$f"): $(tail -1 "$f")"
  grep -A3 '^rules broken' "$f" || true
done
rm -r "$out"
