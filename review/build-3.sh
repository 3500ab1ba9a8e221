#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3/platform"
mkdir -p ../../../target/review-3
go build -o ../../../target/review-3/standin3 .
