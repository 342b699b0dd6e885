#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review. The project's own program is built by the
# command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/harness3
