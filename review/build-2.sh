#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into review/second/bin.
set -euo pipefail
cd "$(dirname "$0")"
go build -o second/bin/stand ./second/platform
