#!/bin/sh
# Makes the archive of loaded classes that halves a front door's start. Without it a start is only slower, so a JDK
# that can't make one must not fail the build. deploy/classes.lst names the classes that the tests were seen to load
# (-XX:DumpLoadedClassList) beyond those that the JDK lists by itself.
set -eu
cd "$(dirname "$0")/.."
home=$(java -XshowSettings:properties -version 2>&1 | sed -n 's/^ *java.home = //p')
cat "$home/lib/classlist" deploy/classes.lst > front-door/target/classes.lst
java -Xshare:dump -XX:+UseSerialGC -XX:SharedClassListFile=front-door/target/classes.lst \
    -XX:SharedArchiveFile=front-door/target/nettletrail.jsa -jar front-door/target/nettletrail.jar > front-door/target/archive.log 2>&1 \
    || rm -f front-door/target/nettletrail.jsa
