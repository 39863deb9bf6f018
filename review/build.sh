#!/usr/bin/env bash
# Builds the stand-ins and cases of the review; the build of the deploy file must have run before.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
javac --release 17 -Xlint:all -d target/review review/harness/*.java
