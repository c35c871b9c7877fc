#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 8.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
go build -o ../../target/standin-2 .
