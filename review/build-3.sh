#!/bin/sh
# Builds the stand-in of the scripted cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/toucanjobd
go build -o target/standin3 ./review/_standin3
