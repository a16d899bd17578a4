#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/, beside the daemon that the build line of
# deploy/system.toml builds. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=${GOFLAGS:-} go build -o ../../target/reviewstand .
