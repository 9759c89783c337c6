#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start: one program that holds the
# platform's store, the endpoints and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-kit ./review/kit
