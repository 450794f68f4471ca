#!/bin/sh
# Builds the stand-ins of the scripts. They are plain modules without
# dependencies, so the build only checks that Node can read them.
set -eu
cd "$(dirname "$0")"
for file in *.mjs */case.mjs; do
	node --check "$file"
done
