#!/bin/sh
# The stand-ins of the scripts in review/4 to review/8 are plain modules of Node.js without
# dependencies: nothing has to be compiled. They are only parsed.
cd "$(dirname "$0")/.." || exit 2
for file in review/lib-2/*.mjs review/[4-8]/*.mjs; do
	[ -e "$file" ] || continue
	node --check "$file" || exit 1
done
