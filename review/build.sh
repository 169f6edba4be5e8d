#!/bin/sh
# Builds the stand-ins and the scripts' programs with the JDK alone, into target/review.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac --release 17 -d target/review $(find review -name '*.java')
