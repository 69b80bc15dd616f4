#!/bin/sh
# The stand-ins are plain modules of Node.js without dependencies; there is nothing to compile. Checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
	node --check "$file"
done
