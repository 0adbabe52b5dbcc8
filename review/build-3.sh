#!/usr/bin/env bash
# Builds the stand-ins of the cases from review/11 on. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stage review/stage-3/main.rs
