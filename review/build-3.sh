#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of this review start: the project's
# own. Those under review-3 are plain JavaScript. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b platform
for file in review/review-3/*.mjs; do
	node --check "$file"
done
