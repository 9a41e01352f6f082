#!/usr/bin/env bash
# The stand-ins of the cases are plain Node.js modules that need no build; this
# checks that each of them can be read.
set -eu
cd "$(dirname "$0")"
for file in ./*.mjs [1-5]/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
