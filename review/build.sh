#!/bin/sh
# Builds what the cases start besides the project's own programs: one program, with the tool chain alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O review/harness/main.rs -o target/review/harness
