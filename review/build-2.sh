#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/6 on: those of review/stage-2, and those of the earlier review,
# which cases 8 and 9 use. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
review/build.sh
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stage review/stage-2/main.rs
