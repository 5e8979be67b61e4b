#!/usr/bin/env bash
# Builds what the deploy file runs: one jar, and the libraries it names, under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -ntp -q -Dmaven.test.skip=true package -pl platform -am
rm -rf target/run
mkdir -p target/run/lib
cp platform/target/lib/*.jar target/run/lib/
cp platform/target/platform-0.1.0.jar target/run/spokestall.jar
# The classes that a node uses, laid out for its start; a rehearsal of three nodes on loopback has them loaded.
flags="-XX:+UseSerialGC -XX:TieredStopAtLevel=1"
cd target/run
java $flags -Xmx256m -XX:ArchiveClassesAtExit=spokestall.jsa -jar spokestall.jar --rehearse rehearsal >rehearsal.log 2>&1 ||
    { tail -n 40 rehearsal.log >&2; exit 1; }
rm -rf rehearsal
