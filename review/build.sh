#!/bin/sh
# Builds the stand-ins of the review's cases. The gateway itself is built by the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
