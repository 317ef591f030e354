#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.."
exec java -XX:+UseSerialGC -Xmx512m -Xss256k -cp review/target/classes Moved review/2/record.txt
