#!/bin/sh
# Builds the stand-ins that the scripts of the review start. The project's own program is built by
# the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/harness
