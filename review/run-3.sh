#!/usr/bin/env bash
# Runs a case: run-3.sh CLASS FOLDER TROUBLE, without the disruption if TROUBLE is 0.
set -euo pipefail
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
if [ ! -f platform/target/platform.jsa ] || [ ! -d review/target/classes-3 ]; then
  echo "run deploy/build.sh and review/build-3.sh first" >&2
  exit 2
fi
java=$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml)
exec "$java" -Xmx256m -cp 'review/target/classes-3:platform/target/lib/*' \
  "org.vanillacove.review3.$1" "$PWD" "$folder/record.txt" "$3"
