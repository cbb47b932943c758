#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript without dependencies: nothing is compiled, only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
