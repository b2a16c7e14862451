#!/bin/sh
# Builds the stand-ins and the cases of the review into target/review; needs rustc only.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
rustc --edition 2024 -O --crate-type rlib --crate-name standin -o "$out/libstandin.rlib" review/standin.rs
for source in review/*/case.rs; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O --crate-name "case$number" --extern "standin=$out/libstandin.rlib" \
        -o "$out/case$number" "$source"
done
