#!/bin/sh
# Builds what the cases 6 to 10 start beside the program: the stand-ins and drivers in review/lib-2 and in the
# folders of the cases. They use the JDK alone, and none of them uses the lab of the project. Needs no network.
set -eu
cd "$(dirname "$0")/.."
[ -f target/passhatch.jar ] || { echo "target/passhatch.jar is missing: run the build of deploy/balancer.toml first" >&2; exit 2; }
rm -rf target/review-2
mkdir -p target/review-2
sources=
for file in review/lib-2/*.java review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java; do
    [ -f "$file" ] && sources="$sources $file"
done
# shellcheck disable=SC2086
javac -Xlint:all -Werror -d target/review-2 $sources
