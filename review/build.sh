#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/ into target/review; deploy/build.sh builds the program itself.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
# A Java runtime without the command javac may still have the compiler as a module.
compiler=(javac)
command -v javac >/dev/null || compiler=(java --module jdk.compiler/com.sun.tools.javac.Main)
"${compiler[@]}" -d target/review review/stand/*.java
