#!/usr/bin/env bash
# Walks the whole path once on a running fleet (see fleet.sh): a streamed chat
# through each router, an order sent twice under one key, a row edit seen on
# another router, and the story of a request.
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
say "status and a story"
endiveplank status
endiveplank explain customer clerks | tail -8
