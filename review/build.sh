#!/usr/bin/env bash
# Builds the stand-in of the scripts, and quartzdock's programs by the line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
go build -o target/review-standin ./review/standin
