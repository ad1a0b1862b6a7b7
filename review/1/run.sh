#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Ends all processes that it started.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/review/cases ] || [ ! -x target/release/valehatch ]; then
    echo "build first: the deploy file's build, then review/build.sh"
    exit 2
fi
# When the time is over, timeout ends the whole process group, the gateway too.
timeout --kill-after=5 110 target/review/cases many-commands "$here"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
