#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/ into target/review; deploy/build.sh builds the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -Xlint:-options -d target/review review/stand/*.java
