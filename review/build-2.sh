#!/bin/sh
# Builds the stand-ins and the scenarios of the second review. Needs no network once the deploy build has run.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
