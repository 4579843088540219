#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. They are plain modules of Node.js
# (review/lib-2 and run.mjs beside each script), so there is nothing to compile; this checks that they parse.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do
  node --check "$file"
done
