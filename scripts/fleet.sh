#!/usr/bin/env bash
# Starts a small fleet on loopback: three routers that vote, two model engines
# and an order desk, with two customers and an order route in the table. It
# prints how to use it, and stops everything on Ctrl-C, or at once after the
# command given behind --, as in: scripts/fleet.sh -- scripts/first-look.sh
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
setup_fleet "${ENDIVEPLANK_BASE_PORT:-7400}"
for i in 1 2 3; do start_router $i; done
for i in 1 2; do start_engine $i; done
start_desk
await_ready "$CALLERS" "$CALLERS2" "$CALLERS3"
first_rows
await_well
if [ "${1:-}" = "--" ]; then
  shift
  export ROUTER_PIDS="${router_pid[1]} ${router_pid[2]} ${router_pid[3]}"
  export ENGINES="127.0.0.1:$(port 4 1) 127.0.0.1:$(port 4 2)"
  "$@"
  exit
fi
cat <<TXT
The fleet runs. Try, in another shell:

  curl -N http://$CALLERS/v1/chat/completions -H 'Authorization: Bearer key-clerks' \\
    -d '{"model":"m1","stream":true,"messages":[{"role":"user","content":"fuel for N123?"}]}'
  curl -i http://$CALLERS2/svc/orders/orders -H 'Authorization: Bearer key-clerks' -H 'Idempotency-Key: o-1' -d '{"gallons":900}'
  ENDIVEPLANK_ADMIN=$ENDIVEPLANK_ADMIN ENDIVEPLANK_KEY=$operator_key go run ./cmd/endiveplank status

Ctrl-C stops it; its logs are in $work until then.
TXT
wait
