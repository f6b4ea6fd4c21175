#!/usr/bin/env bash
# Starts a small fleet on loopback: three routers that vote, two model engines
# and an order desk, with two customers and an order route in the table. It
# prints how to use it, and stops everything on Ctrl-C, or at once after the
# command given behind --, as in: scripts/fleet.sh -- scripts/first-look.sh
set -euo pipefail
cd "$(dirname "$0")/.."
base=${ENDIVEPLANK_BASE_PORT:-7400}
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
go build -o "$work/bin/" ./cmd/...
export PATH="$work/bin:$PATH"

operator_key=operator-demo-key
operator_sha=$(printf %s "$operator_key" | sha256sum | cut -d' ' -f1)
port() { echo $((base + 10 * $1 + $2)); }
settings() {
  cat <<JSON
{"router_id":"r$1","role":"voter","data_centre":"dc$1","region":"home","data_folder":"$work/r$1",
 "listen":{"callers":"127.0.0.1:$(port $1 0)","upstreams":"127.0.0.1:$(port $1 1)",
           "admin":"127.0.0.1:$(port $1 2)","peers":"127.0.0.1:$(port $1 3)"},
 "peers":[{"router_id":"r1","address":"127.0.0.1:$(port 1 3)"},
          {"router_id":"r2","address":"127.0.0.1:$(port 2 3)"},
          {"router_id":"r3","address":"127.0.0.1:$(port 3 3)"}],
 "voters":["r1","r2","r3"],
 "timing":{"unready_ms":200},
 "operators":[{"name":"demo","role":"control","key_sha256":"$operator_sha"}],
 "log":{"level":"${ENDIVEPLANK_LOG:-info}","format":"text"}}
JSON
}
for i in 1 2 3; do
  settings $i >"$work/r$i.json"
  endiveplankd --config "$work/r$i.json" 2>"$work/r$i.log" &
  pids+=($!)
done
announce=127.0.0.1:$(port 1 1),127.0.0.1:$(port 2 1),127.0.0.1:$(port 3 1)
for i in 1 2; do
  endiveplank-standin engine --id e$i --models m1 --data-centre dc$i --listen 127.0.0.1:$(port 4 $i) --announce "$announce" >"$work/e$i.log" 2>&1 &
  pids+=($!)
done
endiveplank-standin desk --id desk1 --service orders --data-centre dc3 --listen 127.0.0.1:$(port 5 0) --announce "$announce" >"$work/desk.log" 2>&1 &
pids+=($!)

export ENDIVEPLANK_ADMIN=127.0.0.1:$(port 1 2) ENDIVEPLANK_KEY=$operator_key
export CALLERS=127.0.0.1:$(port 1 0) CALLERS2=127.0.0.1:$(port 2 0) CALLERS3=127.0.0.1:$(port 3 0)
export ADMIN2=127.0.0.1:$(port 2 2) ADMIN3=127.0.0.1:$(port 3 2)
export DESK=127.0.0.1:$(port 5 0) LOGS=$work
ready() { curl -fs -o /dev/null "http://$1/readyz"; }
for address in $CALLERS $CALLERS2 $CALLERS3; do
  for _ in $(seq 200); do ready "$address" && break; sleep 0.1; done
  ready "$address" || { echo "router at $address did not become ready"; tail -5 "$work"/r*.log; exit 1; }
done
digest() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
endiveplank table set customers clerks key_hashes="$(digest key-clerks)" class=0 --why "first rows" >/dev/null
endiveplank table set customers merchants key_hashes="$(digest key-merchants)" class=2 --why "first rows" >/dev/null
endiveplank table set routes /svc/orders service=orders idempotent=no --why "first rows" >/dev/null
for _ in $(seq 100); do
  endiveplank status --output json | grep -q '"problems": \[\]' && break
  sleep 0.1
done
if [ "${1:-}" = "--" ]; then
  shift
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
