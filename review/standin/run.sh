#!/usr/bin/env bash
# Plays a case: run.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. The
# program ends the daemons that it starts, after 110 s at the latest.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review/standin ] || [ ! -x target/release/catkincartd ]; then
    echo "build the deploy file's program and review/build.sh first"
    exit 2
fi
target/review/standin "$1" "$2/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
