#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. review/build-2.sh builds it.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] || exit 2
exec target/review-2/case-10
