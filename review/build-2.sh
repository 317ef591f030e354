#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. After the build of deploy/system.toml; needs the JDK only.
set -eu
cd "$(dirname "$0")/stage-2"
mkdir -p target
javac --release 17 -d target ./*.java
