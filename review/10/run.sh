#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Needs target/orchidlead-gateway (build of deploy/system.toml) and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/build-review-2/silent_store
if [ ! -x "$program" ] || [ ! -x "$root/target/orchidlead-gateway" ]; then
    echo "run.sh: build the gateway and run review/build-2.sh first" >&2
    exit 2
fi
cd "$root" || exit 2
REPOSITORY=$root RECORD=$here/record.txt exec "$program"
