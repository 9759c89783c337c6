#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review. The hosts are built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/kit2 ./review/kit2
