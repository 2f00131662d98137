#!/bin/sh
# Builds the stand-ins that the scripts of this review start, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
set -e
cargo build --release --locked -p medlarpoint_standin
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/standins-3/cases.rs
