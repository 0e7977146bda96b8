#!/usr/bin/env bash
# Builds the boxes' program and the stand-ins of the cases. The stand-ins need the standard library
# of Rust only, so nothing is fetched for them.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/release/gatepier-box ]; then
    cargo build --release -p gatepier-platform
fi
mkdir -p target/review
for case in review/[0-9]*/; do
    number=$(basename "$case")
    program=target/review/case-$number
    if [ ! "$program" -nt "$case/case.rs" ] || [ ! "$program" -nt review/common/standins.rs ]; then
        rustc -O --edition 2024 "$case/case.rs" -o "$program"
    fi
done
