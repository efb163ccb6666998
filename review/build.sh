#!/usr/bin/env bash
# Builds the stand-ins of the scripts, with the standard library only. They stand in a folder platform, the one in which the names of the protocols may be used.
set -euo pipefail
cd "$(dirname "$0")"
go build -o bin/cell ./platform
