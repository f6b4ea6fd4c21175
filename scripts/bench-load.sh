#!/usr/bin/env bash
# Drives the demonstration fleet (three routers, two engines, a desk) and the
# same engines directly with one seeded trace, and prints both side by side.
# Flags are passed on to `endiveplank load`, as in: scripts/bench-load.sh --rate 8
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
setup_fleet "${ENDIVEPLANK_BASE_PORT:-7800}"
for i in 1 2 3; do start_router $i; done
for i in $(seq "${ENGINES:-2}"); do start_engine $i; done
start_desk
await_ready "$CALLERS" "$CALLERS2" "$CALLERS3"
first_rows
for i in $(seq 10); do
  endiveplank table set customers "c$i" key_hashes="$(digest "key-c$i")" --why "load" >/dev/null
done
await_well
direct=$(for i in $(seq "${ENGINES:-2}"); do printf "127.0.0.1:%s," "$(port 4 "$i")"; done); direct=${direct%,}
processes=()
for i in 1 2 3; do processes+=(--processes "r$i=${router_pid[$i]}"); done
endiveplank load --targets "$CALLERS,$CALLERS2,$CALLERS3" \
  --direct "$direct" --desks "$DESK" \
  "${processes[@]}" --burst-every 0s --out "${OUT:-$work/result.json}" "$@"
if [ -n "${PROFILE:-}" ]; then cp "$work"/*.pprof "$PROFILE"/ 2>/dev/null || true; fi
# With EXPLAIN set, the stories of that many of the slowest requests follow.
if [ -n "${EXPLAIN:-}" ]; then
  grep -o '"request": *"[^"]*"' "${OUT:-$work/result.json}" | cut -d'"' -f4 | head -n "$EXPLAIN" | while read -r request; do
    echo "== $request"
    endiveplank explain request "$request"
  done
fi
