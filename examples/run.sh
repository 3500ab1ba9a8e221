#!/usr/bin/env bash
# Starts every process of an example on loopback and stops them again on Ctrl-C.
#
#   examples/run.sh pichler [PATH-OF-BINARY]
#
# Logs go to data/NAME/log, process IDs to data/NAME/pid. Run it from the root of
# the source tree. Processes that are stopped by hand stay stopped.
set -euo pipefail

name="${1:?usage: examples/run.sh pichler|vineta-norte [PATH-OF-BINARY]}"
binary="${2:-./gooseberrypick}"
folder="examples/$name/vms"
[ -d "$folder" ] || { echo "no folder $folder; run this from the root of the source tree" >&2; exit 2; }
[ -x "$binary" ] || { echo "$binary is missing; build it with: go build ." >&2; exit 2; }

mkdir -p "data/$name/log" "data/$name/pid"
stop() {
  trap - EXIT
  for f in "data/$name/pid/"*.pid; do
    [ -e "$f" ] || continue
    kill -TERM "$(cat "$f")" 2>/dev/null || true
    rm -f "$f"
  done
  wait
}
trap stop EXIT
trap 'exit 0' INT TERM

for settings in "$folder"/control-*.jsonc "$folder"/node-*.jsonc; do
  process="$(basename "$settings" .jsonc)"
  "$binary" "${process%%-*}" --settings "$settings" 2>"data/$name/log/$process.log" &
  echo $! >"data/$name/pid/$process.pid"
done
echo "$name runs; stop with Ctrl-C"
wait
