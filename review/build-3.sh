#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. Needs Go only; run the build of the deploy file before.
set -euo pipefail
cd "$(dirname "$0")/stand3"
mkdir -p ../../target
GOWORK=off go build -o ../../target/reviewstand3 .
