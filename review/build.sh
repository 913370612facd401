#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. The deploy file's build comes before it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/standin
