#!/bin/sh
cd "$(dirname "$0")" || exit 2
exec timeout 110 node case.mjs
