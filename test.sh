#!/usr/bin/env bash
# Runs every test and checks that the pages promise no proof that didn't run.
# Tests named in KNOWN-RED.txt (first field of a line) may fail; they are
# printed.
set -uo pipefail
cd "$(dirname "$0")"
red=""
if [ -f KNOWN-RED.txt ]; then
  red=$(grep -v '^\s*\(#\|$\)' KNOWN-RED.txt | cut -d' ' -f1 | paste -sd'|' -)
fi
mkdir -p bin
go test -count=1 -json ./... >bin/tests.json
go run ./internal/proofs -results bin/tests.json -red "$red" docs/PROOFS.md docs/FAILURES.md
status=$?
if [ -n "$red" ]; then
  echo "Known red:"
  cat KNOWN-RED.txt
fi
exit $status
