#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/passhatch.jar ] || [ ! -f target/review-2/Case10.class ]; then
    echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2
    exit 2
fi
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
java -cp target/review-2 Case10 "$temp" "$PWD/review/10/record.txt"
