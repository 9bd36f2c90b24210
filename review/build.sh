#!/bin/sh
# Builds the stand-ins and clients of the review's cases; needs only the JDK.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
find lib [0-9] -name '*.java' > out/sources
javac -encoding UTF-8 -d out @out/sources
