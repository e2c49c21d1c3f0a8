#!/usr/bin/env bash
# Runs the case of one folder: review/run-case.sh FOLDER MAIN-CLASS
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ ! -d review/target/classes ]; then
  echo "review/target/classes is missing: run 'bash review/build.sh' first" >&2
  exit 2
fi
exec java -Xmx512m -cp 'review/target/classes:platform/target/lib/*' "$2" "$folder/record.txt"
