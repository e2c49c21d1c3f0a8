#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. They need the Java compiler and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
classes=target/review-3/classes
rm -rf "$classes"
mkdir -p "$classes"
javac --release 17 -Xlint:all -d "$classes" review/stand-ins-3/review3/*.java
