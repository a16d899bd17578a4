#!/usr/bin/env bash
# Builds the program with the stand-ins of the cases from 6 on, into target/. It has no
# dependencies beside the standard library.
set -euo pipefail
cd "$(dirname "$0")/cases"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/reviewcases .
