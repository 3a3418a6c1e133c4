#!/usr/bin/env bash
# Builds every stand-in that the scripts of this folder start. Standard library only, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2021 -O -o "target/review/$name" "$source"
done
