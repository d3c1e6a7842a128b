#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, with the compiler alone: no dependency, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stage.new review/stand2/stage.rs
mv target/review-2/stage.new target/review-2/stage
