#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They need the compiler alone, no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
