#!/bin/bash
# Builds the stand-ins of the second review's cases into review/second/bin/. Run after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOTOOLCHAIN=local
mkdir -p review/second/bin
CGO_ENABLED=1 go build -o review/second/bin/ ./review/second/cmd/...
