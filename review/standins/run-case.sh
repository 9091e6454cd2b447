#!/usr/bin/env bash
# Runs one case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
java=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)
timeout 118 "$java" -Xmx512m -Dsun.net.httpserver.nodelay=true -Djdk.httpserver.maxConnections=64 \
  -Djdk.httpclient.allowRestrictedHeaders=host -cp 'review/target/classes:platform/target/lib/*' \
  "review.$1" "$2"
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
