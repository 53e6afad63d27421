#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start. Needs rustc alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2024 -o target/review-2/standin-2 review/standin-2.rs
