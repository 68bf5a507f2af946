#!/bin/sh
# Runs this case after the build of deploy/system.toml and review/build.sh. It exits with 1 if the
# rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for p in target/silverswitchd target/review/harness; do
	[ -x "$p" ] || { echo "$p is missing" >&2; exit 2; }
done
exec timeout -k 5 118 target/review/harness -case limits -record review/3/record.txt
