#!/bin/sh
# Plays the case and writes what was sent, answered and run to record.txt in this folder; TROUBLE=0 leaves the disruption out.
# Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
: > record.txt || exit 2
exec node scenario.js
