#!/usr/bin/env bash
# Runs the case and writes record.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mulberryshuntd ] && [ -x target/review-2/rig ] || exit 2
exec target/review-2/rig poison-dark review/7/record.txt
