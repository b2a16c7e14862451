#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. It needs the build of the deploy file and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/scenes review/scenes-3.rs
