#!/usr/bin/env bash
# Kills one engine and freezes another while `endiveplank load` drives chats and
# orders, with no attempt of its own after a failure. It exits 1 if an answer was
# cut, wrong, refused or failed, or an order lost or doubled.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
setup_fleet "${ENDIVEPLANK_BASE_PORT:-8200}"
for i in 1 2 3; do start_router $i; done
for i in 1 2 3; do start_engine $i; done
start_desk
await_ready "$CALLERS" "$CALLERS2" "$CALLERS3"
first_rows
for i in $(seq 5); do
  endiveplank table set customers "c$i" key_hashes="$(digest "key-c$i")" --why "load" >/dev/null
done
await_well
endiveplank load --targets "$CALLERS,$CALLERS2,$CALLERS3" --desks "$DESK" --customers 5 \
  --rate "${RATE:-15}" --duration 24s --burst-every 0s --pause-max 5s --retries 0 --out "$work/result.json" >"$work/load.log" 2>&1 &
load=$!
pids+=($load)
sleep 4
echo "$(date +%T) kill -9 engine e1"
kill -9 "${engine_pid[1]}"
sleep 5
start_engine 1
sleep 4
echo "$(date +%T) freeze engine e2 for 6 s"
kill -STOP "${engine_pid[2]}"
sleep 6
kill -CONT "${engine_pid[2]}"
failed=0
wait $load || failed=1
tail -n 1 "$work/load.log"
counts=$(grep -E '"(sent|whole|refused|failed|cut|wrong|lost|doubled)": [0-9]+' "$work/result.json" | tr -d '\n ')
echo "$counts"
sent=$(grep -m1 -o '"sent": [0-9]*' "$work/result.json" | grep -o '[0-9]*$')
whole=$(grep -m1 -o '"whole": [0-9]*' "$work/result.json" | grep -o '[0-9]*$')
[ "$sent" = "$whole" ] || failed=1
[ $failed = 0 ] || echo "BROKEN"
exit $failed
