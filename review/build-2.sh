#!/bin/bash
# Builds what the scripts of cases 4 to 8 start beside the boxes. It needs the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/common-2/main.rs
