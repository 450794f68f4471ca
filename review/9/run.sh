#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout -k 5 112 node ../review-3/late-start.mjs "$PWD"
code=$?
# Node ends with 1 as well if the script could not be loaded.
if [ "$code" -gt 2 ] || { [ "$code" -eq 1 ] && ! grep -q '^broken: ' record.txt; }; then
	code=2
fi
exit "$code"
