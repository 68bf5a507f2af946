#!/bin/sh
# Builds the programs and stand-ins that the scripts of cases 4 to 8 start.
set -e
cd "$(dirname "$0")/.."
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
go build -tags review -o target/ ./review/standins-2
