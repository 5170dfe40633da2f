#!/usr/bin/env bash
# Plays the case; claim.txt tells what it shows. TROUBLE=0 leaves the disruption out.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
for f in target/review/standin target/celeryyard-sidecar target/celeryyard-core; do
  [ -x "$f" ] || { echo "$f is missing: build as deploy/system.toml says, then review/build.sh"; exit 2; }
done
exec target/review/standin -case forgotten-exit -folder review/4
