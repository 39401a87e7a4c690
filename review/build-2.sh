#!/bin/bash
# Builds the stand-ins of the cases 6 and up into bin/review-2.
set -eu
cd "$(dirname "$0")/standin2"
mkdir -p ../../bin/review-2
GOWORK=off go build -buildvcs=false -o ../../bin/review-2/meshcase .
