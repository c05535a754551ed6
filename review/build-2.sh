#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; needs the Rust compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/standins-2/main.rs -o target/review-2/standins
