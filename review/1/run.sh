#!/bin/sh
cd "$(dirname "$0")" || exit 2
timeout 110 node case.mjs
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
