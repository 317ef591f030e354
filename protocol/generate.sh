#!/bin/sh
# Writes the committed Java classes anew from the schema. Only needed after a change of src/main/avro/fleet.avdl.
set -eu
cd "$(dirname "$0")"
version=1.12.0
mvn -q -B org.apache.maven.plugins:maven-dependency-plugin:3.8.1:copy \
    -Dartifact=org.apache.avro:avro-tools:$version -DoutputDirectory=target/tools
tools=target/tools/avro-tools-$version.jar
java -jar "$tools" idl src/main/avro/fleet.avdl target/fleet.avpr
rm -rf src/main/generated
java -jar "$tools" compile -string protocol target/fleet.avpr src/main/generated
