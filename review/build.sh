#!/bin/sh
# The stand-ins of the scripts are plain Node modules and need no build; this
# checks that Node can read them.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do
  node --check "$file"
done
