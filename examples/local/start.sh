#!/usr/bin/env bash
# Starts standin (the simulated environment) and four nodes, each a gateway and a control node.
# Ctrl-C stops them all. The first start bootstraps the system; later starts continue with the
# data on disk, for which bootstrap must be false.
set -u
cd "$(dirname "$0")/../.."
go build -o target/ ./cmd/... ./examples/standin || exit 1
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait' EXIT INT TERM
target/standin & pids+=($!)
for i in 1 2 3 4; do
  settings=examples/local/node$i.toml
  if [ -n "$(find /tmp/madderwing-local/$i \( -name 'store.*.db' -o -name 'stacks*.db' \) -size +0 2>/dev/null)" ]; then
    mkdir -p /tmp/madderwing-local
    settings=/tmp/madderwing-local/node$i.toml
    sed 's/^bootstrap = true/bootstrap = false/' examples/local/node$i.toml > "$settings"
  fi
  target/madderwing control --settings "$settings" & pids+=($!)
  target/madderwing gateway --settings "$settings" & pids+=($!)
done
wait
