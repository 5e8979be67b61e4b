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
# It is run as the deploy file runs a node, from here and by the same path, or the archive would not be taken.
timeout 90 java -Xmx128m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:-UsePerfData -XX:+ErrorFileToStderr -Djava.locale.providers=COMPAT -Djboss.threads.eqe.register-mbean=false -Djavax.management.builder.initial=none -XX:ArchiveClassesAtExit=target/run/spokestall.jsa \
    -jar target/run/spokestall.jar --rehearse target/run/rehearsal >target/run/rehearsal.log 2>&1 ||
    { echo "the rehearsal failed; nodes start without an archive of their classes" >&2; tail -n 40 target/run/rehearsal.log >&2
      rm -f target/run/spokestall.jsa; }
rm -rf target/run/rehearsal
