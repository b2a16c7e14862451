#!/bin/sh
# Builds the cases of the second review with their stand-ins, which use the standard library alone. It needs no
# network. The router comes from the build command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$case/case.rs" ] || continue
    rustc --edition 2024 -O -o "target/review-2/case-${case#review/}" "$case/case.rs"
done
