#!/usr/bin/env bash
# Usage: add.sh N, with N from 5 up. Starts one more node, besides those of start.sh, as a
# replacement for a lost machine. It knows only the addresses of the seed nodes.
set -eu
cd "$(dirname "$0")/../.."
n=${1:?the number of the node, 5 or more}
mkdir -p /tmp/madderwing-local
settings=/tmp/madderwing-local/node$n.toml
sed -e "s/127\.0\.0\.4/127.0.0.$n/; s/local-west-2/local-west-$n/; s#madderwing-local/4#madderwing-local/$n#; s/^bootstrap = true/bootstrap = false/" \
  examples/local/node4.toml > "$settings"
trap 'kill 0' EXIT INT TERM
target/madderwing gateway --settings "$settings" &
target/madderwing control --settings "$settings"
