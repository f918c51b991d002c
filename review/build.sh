#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start: the platform's list, the upstreams,
# clients, operators and applications, all in one program.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/_stand
