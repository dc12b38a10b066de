#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. The daemons are built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/_standin
