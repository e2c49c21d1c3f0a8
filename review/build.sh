#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start, the project's own store among them, into review/target.
# Needs the build of the deploy file, whose libraries it uses.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
if [ ! -f platform/target/platform.jar ]; then
  echo "platform/target/platform.jar is missing: run 'bash deploy/build' first" >&2
  exit 2
fi
rm -rf review/target
mkdir -p review/target/classes
javac -nowarn -d review/target/classes -cp 'platform/target/lib/*' \
  stand-ins/src/main/java/org/galenahinge/standins/platform/StandInServer.java \
  stand-ins/src/main/java/org/galenahinge/standins/platform/StoreStandIn.java \
  review/stand-ins/review/*.java
