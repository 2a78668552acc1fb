#!/bin/sh
# Builds the stand-ins of the second review's scripts. The programs of the deploy file are built by its
# own line `build`.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./review/cases2
