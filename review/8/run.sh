#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
if [ ! -x target/toucanjobd ] || [ ! -x target/standin2 ]; then
  echo "run the build line of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec target/standin2 trial "$folder"
