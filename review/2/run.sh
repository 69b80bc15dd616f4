#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it plays the same without the disruption. Writes record.txt beside this file.
export TROUBLE="${TROUBLE:-1}"
exec node "$(dirname "$0")/case.mjs"
