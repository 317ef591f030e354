#!/bin/sh
# Compiles the stand-ins of the review's scripts with the JDK alone; after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p target/classes
javac -Xlint:-options -d target/classes stage/*.java
