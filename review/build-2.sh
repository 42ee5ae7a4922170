#!/bin/sh
# Builds the harness of the cases of the second review, which holds all their stand-ins.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/lib-2/harness.rs -o target/review-2/harness
