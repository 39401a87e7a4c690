#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
case_program=$here/../../bin/review-3/meshcase
if [ ! -x "$case_program" ] || [ ! -x "$here/../../target/corianderwood" ]; then
	echo "run the build of the deploy file and review/build-3.sh first" >&2
	exit 2
fi
exec "$case_program" twoheartbeats "$here/../.." "$here/record.txt"
