#!/usr/bin/env bash
# Walks the whole path once on a running fleet (see fleet.sh): a streamed chat
# through each router, an order sent twice under one key, a row edit seen on
# another router; then the router that relays a long answer is killed in the
# middle of it, and the caller's whole answer, its timeline and the fleet's status
# are shown.
set -euo pipefail
say() { printf '\n== %s\n' "$*"; }
fail() { echo "FAILED: $*"; exit 1; }
body='{"model":"m1","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"fuel for N123?"}]}'
first=""
for address in $CALLERS $CALLERS2 $CALLERS3; do
  say "streamed chat through $address"
  answer=$(curl -sN "http://$address/v1/chat/completions" -H 'Authorization: Bearer key-clerks' -d "$body")
  grep -q '\[DONE\]' <<<"$answer" || fail "no whole answer: $answer"
  text=$(grep -o '"content":"[^"]*"' <<<"$answer" | tr -d '\n')
  [ -z "$first" ] || [ "$first" = "$text" ] || fail "another answer than before"
  first=$text
done
say "an order, sent through two routers under one key"
for address in $CALLERS2 $CALLERS3; do
  curl -si "http://$address/svc/orders/orders" -H 'Authorization: Bearer key-clerks' -H 'Idempotency-Key: o-1' -d '{"gallons":900}' | grep -i -E '^HTTP|outcome|^\{'
done
runs=$(curl -s "http://$DESK/audit")
echo "$runs"
say "a row edit, read on another router"
endiveplank table set customers clerks weight=300 --why "season"
export ENDIVEPLANK_ADMIN=$ADMIN2
endiveplank table get customers clerks
endiveplank order show clerks o-1
say "kill the router that relays a long answer"
body='{"model":"m1","stream":true,"max_tokens":300,"messages":[{"role":"user","content":"a long story of a long night"}]}'
text_of() { grep -o '"content":"[^"]*"' | tr -d '\n'; }
expected=$(curl -sN "http://$CALLERS3/v1/chat/completions" -H 'Authorization: Bearer key-clerks' -d "$body" | text_of)
out=$(mktemp)
curl -sN -D "$out.head" "http://$CALLERS3/v1/chat/completions" -H 'Authorization: Bearer key-clerks' -d "$body" >"$out" &
caller=$!
sleep 0.5
read -r pid1 pid2 _ <<<"$ROUTER_PIDS"
read -r engine1 _ <<<"$ENGINES"
# e1 is owned by r1 and e2 by r2, each in its data centre.
victim=$pid2
victim_name=r2
if curl -s "http://$engine1/stats" | grep -q '"running": *[1-9]'; then
  victim=$pid1
  victim_name=r1
fi
kill -9 "$victim"
echo "killed $victim_name"
wait $caller || fail "the caller's connection broke"
got=$(text_of <"$out")
request=$(tr -d '\r' <"$out.head" | awk -F': ' 'tolower($1)=="x-endiveplank-request"{print $2}')
rm -f "$out" "$out.head"
[ "$got" = "$expected" ] || fail "the answer isn't the whole one"
echo "the caller got its whole answer, $(grep -o '"content"' <<<"$got" | wc -l) tokens, the same as before"
sleep 3
export ENDIVEPLANK_ADMIN=$ADMIN3
endiveplank explain request "$request"
say "the fleet now"
endiveplank status
