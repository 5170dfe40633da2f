#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, from the standard library and the project's reader of
# HTTP heads. The programs of the project come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/standin
