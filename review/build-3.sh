#!/usr/bin/env bash
# Compiles the stand-ins of review/standins-3 against the libraries that the build of the deploy
# file left in platform/target/lib. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
java=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)
rm -rf review/target/classes-3
mkdir -p review/target/classes-3
find review/standins-3 -name '*.java' -print0 \
  | xargs -0 "$(dirname "$java")/javac" -d review/target/classes-3 -cp 'platform/target/lib/*'
