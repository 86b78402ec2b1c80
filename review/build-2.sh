#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/6 to review/10, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/cases review/standins-2/main.rs
