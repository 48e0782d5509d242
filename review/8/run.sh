#!/bin/sh
# TROUBLE=0 leaves out the disruption; the rule must hold then.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
case "${TROUBLE:-1}" in
0) mode=calm ;;
*) mode=trouble ;;
esac
PYTHONPATH="$root/target/deps:$root/review" \
    exec python3 -S "$folder/case.py" "$mode"
