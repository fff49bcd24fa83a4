#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
program=$here/../../target/review-2/case-$(basename "$here")
[ -x "$program" ] || exit 2
timeout -k 2 115 "$program" "$here/../.." "$here"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
