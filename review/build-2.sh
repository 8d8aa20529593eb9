#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain JavaScript and need no compilation. Checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-2/*.mjs */case.mjs; do
  node --check "$file"
done
