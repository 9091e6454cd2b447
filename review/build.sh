#!/usr/bin/env bash
# Compiles the stand-ins and the cases against the libraries that the build of the deploy file left
# in platform/target/lib. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
java=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)
rm -rf review/target
mkdir -p review/target/classes
find review -name '*.java' -not -path 'review/target/*' -print0 \
  | xargs -0 "$(dirname "$java")/javac" -d review/target/classes -cp 'platform/target/lib/*'
