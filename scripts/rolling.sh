#!/usr/bin/env bash
# Restarts every router and then every engine of a small fleet, one after the
# other, as planned (SIGTERM), while `endiveplank load` drives chats and orders
# through the others. It exits 1 if an answer was cut, wrong or failed, an order
# lost or doubled, or a process did not stop with status 0.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
setup_fleet "${ENDIVEPLANK_BASE_PORT:-8000}"
for i in 1 2 3; do start_router $i; done
for i in 1 2 3; do start_engine $i; done
start_desk
await_ready "$CALLERS" "$CALLERS2" "$CALLERS3"
first_rows
for i in $(seq 5); do
  endiveplank table set customers "c$i" key_hashes="$(digest "key-c$i")" --why "load" >/dev/null
done
await_well
# The platform's balancer sends callers only to routers that report ready; the
# load tool has none, so it retries a refusal at another router.
endiveplank load --targets "$CALLERS,$CALLERS2,$CALLERS3" --desks "$DESK" --customers 5 \
  --rate "${RATE:-15}" --duration "${DURATION:-45s}" --burst-every 0s --pause-max 5s --retries 8 --out "$work/result.json" >"$work/load.log" 2>&1 &
load=$!
pids+=($load)
sleep 3
addresses=("" "$CALLERS" "$CALLERS2" "$CALLERS3")
failed=0
for i in 1 2 3; do
  echo "$(date +%T) restart router r$i"
  kill -TERM "${router_pid[$i]}"
  status=0
  wait "${router_pid[$i]}" || status=$?
  [ $status = 0 ] || { echo "BROKEN: r$i stopped with status $status"; failed=1; }
  start_router $i
  await_ready "${addresses[$i]}"
  sleep 2
done
for i in 1 2; do
  echo "$(date +%T) restart engine e$i"
  kill -TERM "${engine_pid[$i]}"
  wait "${engine_pid[$i]}" || true
  sleep 1
  start_engine $i
  sleep 3
done
wait $load || failed=1
tail -n 3 "$work/load.log"
grep -E '"(sent|whole|wrong|cut|refused|failed|retries|lost|doubled)"' "$work/result.json" | tr -d '\n'
echo
[ $failed = 0 ] || { cp "$work"/*.log "$work/result.json" "${KEEP:-/dev/null}" 2>/dev/null || true; echo "BROKEN"; }
exit $failed
