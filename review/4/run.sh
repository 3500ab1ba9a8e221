#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/gooseberrypick ] && [ -x target/review-platform ] || { echo "build the project and run review/build.sh first"; exit 2; }
exec target/review-platform left-upload "$folder"
