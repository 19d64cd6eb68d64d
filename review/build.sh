#!/usr/bin/env bash
# Builds the program that runs the scripted cases, with all stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
