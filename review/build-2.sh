#!/bin/sh
# Builds what the scripts in review/6 to review/10 start besides the project's
# program. Their stand-ins are plain modules of Node: there is nothing to build.
cd "$(dirname "$0")/.." && node --check review/lib-2/harness.mjs
