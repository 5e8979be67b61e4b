#!/usr/bin/env bash
# Builds what the deploy file runs: one jar, and the libraries it names, under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -ntp -q -DskipTests package -pl platform -am
rm -rf target/run
mkdir -p target/run/lib
cp platform/target/lib/*.jar target/run/lib/
cp platform/target/platform-0.1.0.jar target/run/spokestall.jar
