#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. It needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
[ -x "$here/../bin/harness" ] || { echo "review/build.sh has not been run"; exit 2; }
exec "$here/../bin/harness" many-types "$here"
