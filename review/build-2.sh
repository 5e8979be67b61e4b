#!/bin/bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file. Needs only the JDK's compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/stand-2/*.java
