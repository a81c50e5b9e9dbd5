#!/usr/bin/env bash
# Builds every stand-in that the scripts of the cases start. It needs the build of the deploy file first, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:--buildvcs=false}"
go build -ldflags=-linkmode=external -o target/review-stand ./review/stand
