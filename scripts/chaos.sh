#!/usr/bin/env bash
# Kills, freezes and wipes routers while orders and row edits run, and audits
# desk and table afterwards: no order lost or doubled, nothing said to be not
# run that ran, no accepted edit lost. Orders are sent again through another
# router until their outcome is known. It ends within two minutes and exits 1
# when a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/lib.sh
setup_fleet "${ENDIVEPLANK_BASE_PORT:-7600}"
for i in 1 2 3; do start_router $i; done
start_engine 1
start_desk --slow-ms 150
await_ready "$CALLERS" "$CALLERS2" "$CALLERS3"
first_rows
await_well
addresses=("$CALLERS" "$CALLERS2" "$CALLERS3")
admins=("$ENDIVEPLANK_ADMIN" "$ADMIN2" "$ADMIN3")

# order N sends order N until a router says that it ran or never will.
order() {
  local try outcome
  for try in $(seq 0 60); do
    outcome=$(curl -s -m 12 -o /dev/null -D - "http://${addresses[$((($1 + try) % 3))]}/svc/orders/orders" \
      -H 'Authorization: Bearer key-clerks' -H "Idempotency-Key: o-$1" -d "{\"order\":$1}" |
      tr -d '\r' | awk -F': ' 'tolower($1)=="x-endiveplank-outcome"{o=$2} /^HTTP/{split($0,h," "); s=h[2]} END{print s, o}') || true
    case $outcome in
      "200 ran") echo "$1 ran"; return ;;
      *" not-run") [ "${outcome%% *}" = 503 ] && sealed "$1" && { echo "$1 sealed"; return; } ;;
    esac
    sleep 0.2
  done
  echo "$1 open"
}
# sealed N asks the journal whether order N can never run.
sealed() {
  local admin
  for admin in "${admins[@]}"; do
    ENDIVEPLANK_ADMIN=$admin endiveplank order show clerks "o-$1" --output json --timeout 3s 2>/dev/null | grep -q '"state": "sealed"' && return 0
  done
  return 1
}
orders() {
  for n in $(seq "$1" 4 200); do order "$n"; sleep 0.2; done >"$work/orders.$1"
}
# edits sets a customer's weight to 1, 2, 3, ... and notes the last accepted.
edits() {
  local n admin
  for n in $(seq 1 40); do
    for admin in "${admins[@]}" "${admins[@]}" "${admins[@]}"; do
      if ENDIVEPLANK_ADMIN=$admin endiveplank table set customers merchants weight="$n" --id "edit-$n" --why chaos --timeout 12s >/dev/null 2>&1; then
        echo "$n" >"$work/edited"
        break
      fi
    done
    sleep 0.3
  done
}
loads=()
for worker in 1 2 3 4; do orders $worker & loads+=($!); pids+=($!); done
edits & loads+=($!); pids+=($!)

say() { echo "$(date +%T) $*"; }
sleep 2
say "kill -9 r1, start it again"
kill -9 "${router_pid[1]}"; sleep 1; start_router 1
await_ready "$CALLERS"
say "freeze r2 for 6 s"
kill -STOP "${router_pid[2]}"; sleep 6; kill -CONT "${router_pid[2]}"
await_ready "$CALLERS2"
say "kill -9 r3, wipe its data folder, start it again"
kill -9 "${router_pid[3]}"; rm -rf "$work/r3"; sleep 1; start_router 3
await_ready "$CALLERS3"
sleep 2
say "stop r1 as planned, start it again"
kill -TERM "${router_pid[1]}"; wait "${router_pid[1]}" || true; start_router 1
await_ready "$CALLERS"
say "wait for the callers"
for pid in "${loads[@]}"; do wait "$pid"; done

say "audit"
failed=0
bad() { echo "BROKEN: $*"; failed=1; }
ran=$(cat "$work"/orders.* | grep -c ' ran$' || true)
not_run=$(cat "$work"/orders.* | grep -c ' sealed$' || true)
open=$(cat "$work"/orders.* | grep -c ' open$' || true)
curl -s "http://$DESK/audit" >"$work/audit.json"
count() { grep -o "\"o-$1\":{\"count\":[0-9]*" "$work/audit.json" | grep -o '[0-9]*$' || echo 0; }
for n in $(seq 1 200); do
  runs=$(count "$n")
  said=$(cat "$work"/orders.* | awk -v n="$n" '$1==n{print $2}')
  [ "$runs" -le 1 ] || bad "order $n ran $runs times"
  [ "$said" != ran ] || [ "$runs" = 1 ] || bad "order $n was answered but ran $runs times"
  [ "$said" != sealed ] || [ "$runs" = 0 ] || bad "order $n was said to be not run and ran $runs times"
done
last=$(cat "$work/edited")
for admin in "${admins[@]}"; do
  now=$(ENDIVEPLANK_ADMIN=$admin endiveplank table get customers merchants --output json | tr -d ' \n' | grep -o '"cells":\["[^"]*","[^"]*","[0-9]*"' | grep -o '[0-9]*"$' | tr -d '"')
  [ "$now" -ge "$last" ] || bad "router at $admin shows weight $now, accepted was $last"
done
echo "orders: $ran ran once, $not_run sealed, $open without a known outcome; last accepted edit $last of 40"
[ "$open" -le 20 ] || bad "too many orders without an outcome"
exit $failed
