#!/usr/bin/env bash
# Builds the stand-in of the cases 4 to 8 into target/. The daemons come from the build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin-2
