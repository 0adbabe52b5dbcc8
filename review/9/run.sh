#!/bin/sh
# Plays the trial "frozen" of the earlier review. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
if [ "${TROUBLE:-1}" = 0 ]; then
    disruption=without
else
    disruption=with
fi
exec "$(dirname "$0")/../play.sh" frozen 9 "$disruption"
