#!/bin/bash
# Builds the stand-ins of the cases 11 and up into bin/review-3.
set -eu
cd "$(dirname "$0")/standin3"
mkdir -p ../../bin/review-3
GOWORK=off go build -buildvcs=false -o ../../bin/review-3/meshcase .
