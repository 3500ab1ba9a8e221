#!/usr/bin/env bash
# Builds the stand-ins of the users' platform that the scripts start. The programs of the
# project itself are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/platform"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../../target/review-platform .
