#!/usr/bin/env bash
# Compiles the cases 6 to 10 and their stand-ins against the libraries that the build of the deploy
# file left in platform/target/lib. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
java=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)
rm -rf review/standins-2/target
mkdir -p review/standins-2/target/classes
find review -name '*.java' -not -path '*/target/*' \
  \( -path 'review/standins-2/*' -o -path 'review/[6-9]/*' -o -path 'review/10/*' \) -print0 \
  | xargs -0 "$(dirname "$java")/javac" -d review/standins-2/target/classes -cp 'platform/target/lib/*'
