#!/usr/bin/env bash
# Plays all days of a folder of deploy/days (kinds, pairs) on a site and prints a
# table. BENCH is the bench's program, SITE a site file:
# BENCH=... scripts/days.sh SITE [FOLDER] [JOBS].
set -euo pipefail
cd "$(dirname "$0")/.."
site=$1 folder=${2:-kinds} jobs=${3:-4}
out=$(mktemp -d)
"$BENCH" build >/dev/null
find "deploy/days/$folder" -name '*.toml' | sort | xargs -P "$jobs" -I{} sh -c \
  "\"$BENCH\" run \"$site\" {} --why \"days of deploy/days/$folder\" >\"$out\"/\$(basename {} .toml) 2>&1 || true"
for f in "$out"/*; do
  grep -A1 '^day  ' "$f" | tail -1 || echo "$(basename "$f"): $(tail -1 "$f")"
  grep -A3 '^rules broken' "$f" || true
done
rm -r "$out"
