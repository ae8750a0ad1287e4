#!/bin/bash
# Builds the programs of the cases, stand-ins included. It needs the modules that the build of the
# deploy file has fetched, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOTOOLCHAIN=local GOPROXY=off
mkdir -p review/bin
go build -o review/bin/ ./review/cmd/...
