#!/usr/bin/env bash
# Runs the main class of a case of the third review; the record goes to the folder of the case.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
case_folder=$1
main_class=$2
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ ! -d target/review-3/classes ]; then
  echo "review/build-3.sh has not been run" >&2
  exit 2
fi
exec timeout --kill-after=2 118 java -Xmx512m -cp target/review-3/classes "review3.$main_class" "review/$case_folder/record.txt"
