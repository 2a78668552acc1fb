#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
if [ ! -x target/review-standin ] || [ ! -x target/quartzdock-node ]; then
	review/build.sh || exit 2
fi
exec target/review-standin drain "$here/record.txt"
