#!/usr/bin/env bash
# Runs the class named first as a case whose folder is named second, and passes on its exit code.
set -uo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/../.."
java=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)
if [ ! -d review/standins-2/target/classes ] || [ ! -d platform/target/lib ]; then
  echo "run deploy/build.sh and review/build-2.sh first" >&2
  exit 2
fi
timeout -s TERM 118 "$java" -Xmx256m -Drepository="$PWD" -Dsun.net.httpserver.nodelay=true \
  -Djdk.httpclient.allowRestrictedHeaders=host -Dsun.net.httpserver.maxIdleConnections=1000 \
  -cp "review/standins-2/target/classes:platform/target/lib/*" "review2.$1" "$folder"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
