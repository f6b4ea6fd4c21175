#!/usr/bin/env bash
# Builds every stand-in that a case's script starts, into review/bin. It needs the Go toolchain and
# no module from outside. The system's own program is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
go build -o ../bin/standin .
