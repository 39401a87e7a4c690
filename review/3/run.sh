#!/usr/bin/env bash
# Plays the case forgotten with the programs of the deploy file's build and of review/build.sh.
# TROUBLE=0 in the environment leaves out the disruption. Exit 1: the rule was broken; 0: it
# held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/corianderwood ] || [ ! -x review/bin/casework ]; then
	echo "build the deploy file and run review/build.sh first"
	exit 2
fi
exec review/bin/casework forgotten review/3
