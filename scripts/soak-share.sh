#!/usr/bin/env bash
# Prints the share of the soak test in the lines of code, and fails if it is a
# tenth or more.
set -euo pipefail
cd "$(dirname "$0")/.."
lines() { xargs -r cat | wc -l; }
soak=$(git ls-files 'internal/scenario/*soak*.go' | lines)
all=$(git ls-files '*.go' | grep -v '\.pb\.go$' | lines)
echo "The soak has $soak of $all lines ($((soak * 100 / all)) percent)."
[ $((soak * 10)) -lt "$all" ]
