#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-2/ ./review/scenario2
