#!/usr/bin/env bash
# Builds all programs and runs the whole path on this machine in under a minute:
# three control instances, nine nodes with stand-ins, changes, load, a crash and
# a planned stop. Prints a report; exits non-zero when something that must hold
# did not. All processes end with it.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" ./cmd/...
CELERYYARD_BIN="$bin" go test -count=1 -timeout 3m -run '^TestDemo$' -v ./test/e2e
