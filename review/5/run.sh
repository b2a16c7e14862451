#!/bin/sh
# Runs the case; exit code 1: rule broken, 0: it held, 2: could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case5 ] || exit 2
exec target/review/case5
