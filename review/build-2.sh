#!/bin/sh
# Builds the program that plays the scripts of the second review (review/6 to review/10), with the
# stand-ins for platform, upstreams, operator and clients in it. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/cases2 ./review/_cases2
