#!/bin/sh
# Builds the fleet's binary and an archive of the classes that its roles load, which halves their start. Without the archive a
# start is only slower, so a JDK that can't make one must not fail the build.
set -eu
cd "$(dirname "$0")/.."
mvn -q -B -DskipTests -pl fleet -am package
java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=fleet/target/fleet.jsa \
    -jar fleet/target/nettletrail-fleet.jar warm-up > fleet/target/archive.log 2>&1 \
    || rm -f fleet/target/fleet.jsa
