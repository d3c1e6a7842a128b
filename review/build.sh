#!/bin/sh
# Builds the stand-ins of all cases: one program, from the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand review/stand/main.rs
