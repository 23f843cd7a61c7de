#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start besides the system itself. The stand-ins are plain JavaScript in
# review/standins-3, so there is nothing to compile: this checks that Node.js can read each file.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.js 1[1-5]/*.js; do
  [ -e "$file" ] || continue
  node --check "$file"
done
