#!/usr/bin/env bash
# Builds the stand-ins of the scripts 11 to 15. They need nothing beyond the compiler and its standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins-3 review/standins-3/main.rs
