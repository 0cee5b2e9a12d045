#!/bin/sh
# Plays the case: see claim.txt. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 plays it without the disruption. What was sent, answered and run goes to record.txt.
cd "$(dirname "$0")/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
export RUN_COMMAND
if [ ! -x bin/capersail ] || [ ! -x bin/review-standin ]; then
	echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
	exit 2
fi
exec bin/review-standin flap review/1/record.txt
