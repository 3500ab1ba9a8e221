#!/usr/bin/env bash
# Starts every process of an example on loopback and stops them again on Ctrl-C.
#
#   examples/run.sh pichler [BINARY]
#
# BINARY is a path or a command on the PATH; ./gooseberrypick if it is left out.
#
# Logs go to data/NAME/log, process IDs to data/NAME/pid. Run it from the root of
# the source tree. Processes that are stopped by hand stay stopped.
set -euo pipefail

name="${1:?usage: examples/run.sh pichler|vineta-norte [BINARY]}"
binary="${2:-./gooseberrypick}"
folder="examples/$name/vms"
[ -d "$folder" ] || { echo "no folder $folder; run this from the root of the source tree" >&2; exit 2; }
command -v "$binary" >/dev/null || { echo "$binary is missing; build it with: go build ." >&2; exit 2; }

mkdir -p "data/$name/log" "data/$name/pid"
stop() {
  trap - EXIT
  # Only children that still run: the ID of another one may belong to a
  # stranger by now.
  kill -TERM $(jobs -pr) 2>/dev/null || true
  rm -f "data/$name/pid/"*.pid
  wait
}
trap stop EXIT
trap 'exit 0' INT TERM

for settings in "$folder"/control-*.jsonc "$folder"/node-*.jsonc; do
  process="$(basename "$settings" .jsonc)"
  "$binary" "${process%%-*}" --settings "$settings" 2>"data/$name/log/$process.log" &
  echo $! >"data/$name/pid/$process.pid"
done
echo "$name runs; stop it with Ctrl-C or: kill $$"
wait
