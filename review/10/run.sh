#!/bin/bash
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/second/bin/standin ] && [ -x bin/dispatcher ] || { echo "not built" >&2; exit 2; }
exec review/second/bin/standin take-out "review/10"
