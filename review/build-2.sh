#!/usr/bin/env bash
# Builds the drivers and stand-ins of the second review: one program a case, standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[0-9]*/main.rs; do
    case_folder=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review-2/case-$case_folder" "$source"
done
