#!/usr/bin/env bash
# Builds the programs that the scripts under review/ start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOWORK=off go build -buildvcs=false -o bin/ ./cmd/...
