#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/quartzdock-node ] && [ -x target/cases2 ] || exit 2
exec target/cases2 lost-seats review/4
