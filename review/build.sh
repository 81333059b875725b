#!/usr/bin/env bash
# Builds the programs of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/...
