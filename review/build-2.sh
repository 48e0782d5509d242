#!/bin/sh
# Builds the stand-ins and scripts of the cases 6 to 10: byte code only.
# They use the libraries that the build of the deploy file puts into target.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q lab 6 7 8 9 10
