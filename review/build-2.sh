#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. The daemon is built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/_standin2
