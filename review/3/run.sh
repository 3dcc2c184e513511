#!/usr/bin/env bash
# Exits with 1 if a cold replica got more requests in a second than it is allowed to get from
# all machines; 0 if none did; 2 if the case couldn't run. TROUBLE=0: no machine is killed.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/reviewcase ] && [ -x target/mulberryshuntd ] || exit 2
exec target/reviewcase coldherd review/3/record.txt
