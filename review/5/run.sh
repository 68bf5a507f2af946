#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/silverswitchd ] && [ -x target/standins-2 ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
exec target/standins-2 zombie "$here"
