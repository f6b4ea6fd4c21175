#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, which run without a network. The programs of the
# project itself are built by the line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
cd review/standin2
go build -o ../bin/standin2 .
