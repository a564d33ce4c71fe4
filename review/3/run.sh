#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/doorgrade target/review/harness; do
    [ -x "$program" ] || { echo "$program is missing: run the build of deploy/balancer.toml and review/build.sh"; exit 2; }
done
exec target/review/harness slow-discovery review/3
