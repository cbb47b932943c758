#!/usr/bin/env bash
# The stand-ins of the scripts in review/6 to review/10 are plain JavaScript without dependencies: nothing is
# compiled, only checked. None of the project's own stand-ins is started.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs; do node --check "$file"; done
for n in 6 7 8 9 10; do
  for file in "$n"/*.mjs; do
    if [ -e "$file" ]; then node --check "$file"; fi
  done
done
