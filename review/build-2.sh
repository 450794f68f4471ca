#!/usr/bin/env bash
# Compiles the project's own stand-ins, which the scripts of cases 4 to 8 start,
# from the tree and node_modules; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -b platform
