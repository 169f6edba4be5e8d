#!/bin/sh
# Builds the stand-ins and the programs of the scripts in review/6 to review/10, with the JDK alone, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
sources=$(find review/rig -name '*.java')
for n in 6 7 8 9 10; do
  if [ -d "review/$n" ]; then
    sources="$sources $(find "review/$n" -name '*.java')"
  fi
done
javac --release 17 -d target/review-2 $sources
