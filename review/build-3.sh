#!/usr/bin/env bash
# Compiles the cases of review 3 and their stand-ins into target/review-3, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
find review/standins3 review/1[1-5] -name '*.java' > target/review-3/sources.txt
javac --release 17 -Xlint:all,-processing -d target/review-3 @target/review-3/sources.txt
