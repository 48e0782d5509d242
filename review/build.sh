#!/bin/sh
# Builds the stand-ins of all cases; they are plain Python and need only the
# libraries that the deploy file's build has placed under target/deps.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
exec python3 -m compileall -q review
