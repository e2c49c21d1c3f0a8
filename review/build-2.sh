#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review. They need a JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/stand-ins-2"
mkdir -p target/classes-2
javac --release 17 -d target/classes-2 review/*.java
