#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-harness ] || { echo "run review/build.sh first" >&2; exit 2; }
exec ../../target/review-harness -record record.txt snapshot
