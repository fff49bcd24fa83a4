#!/usr/bin/env bash
# Starts one node with its defaults and stand-in targets, applies a declaration,
# streams one chat answer and places one booking twice with the same key. Ends
# everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
work=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop EXIT
fail() {
  echo "demo: $1" >&2
  tail -n 20 "$work"/*.log >&2
  exit 1
}
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

start node "$build/packages/node/turmericdyked" --balancer_notice_ms=100
start models "$build/packages/standin/turmericdyke_standin" --name=model --count=3
start booking "$build/packages/standin/turmericdyke_standin" --name=desk --service=booking

ctl="$build/packages/ctl/turmericctl"
for _ in $(seq 100); do
  curl -sf -o /dev/null http://127.0.0.1:8080/readyz && break
  sleep 0.1
done
echo "== turmericctl apply"
"$ctl" apply --author=demo examples/demo.yaml || fail "the declaration was not applied"
for _ in $(seq 100); do
  "$ctl" status replicas --output=json | grep -q '"serving": *true' && break
  sleep 0.1
done
echo "== turmericctl status replicas"
"$ctl" status replicas

echo "== one streamed chat answer"
curl -sN -H 'Authorization: Bearer demo-key' \
  -d '{"messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":3}' \
  http://127.0.0.1:8080/v1/chat/completions | tee "$work/answer"
grep -q '^data: \[DONE\]' "$work/answer" || fail "the answer is not complete"

echo "== one booking, placed twice with the same key"
for try in 1 2; do
  curl -s -D "$work/head$try" -H 'Authorization: Bearer demo-key' -H 'Idempotency-Key: booking-1' \
    -d '{"slot":"9:00"}' http://127.0.0.1:8080/v1/services/booking/bookings | tee "$work/body$try"
  echo
done
cmp -s "$work/body1" "$work/body2" || fail "the resend got another answer"
grep -qi '^Idempotent-Replayed: true' "$work/head2" || fail "the booking ran again"
echo "== done: the booking ran once, and the resend got the stored answer"
