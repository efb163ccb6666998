#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
go build -o bin/ ./cell
