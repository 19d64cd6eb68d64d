#!/usr/bin/env bash
# Plays days of deploy/days on a site and prints a table. BENCH is the bench's program, SITE
# a site file; each day is played with the seed that it names, or with each of SEEDS, and
# with VARY=1 with times and figures varied by the seed. Days whose names match ONLY are
# played; a day that does not fit the site is told so:
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
