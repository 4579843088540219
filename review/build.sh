#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js: nothing is compiled, only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[0-9]*/*.mjs; do node --check "$file"; done
