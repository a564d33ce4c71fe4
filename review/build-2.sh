#!/bin/sh
# Builds what the cases of the second review start: the program itself. Their stand-ins are Python's standard library
# alone (review/harness-2/rig.py), so that for them it is enough that an interpreter is there.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline 2>/dev/null || cargo build --release
python3 -c 'import sys; sys.exit(0 if sys.version_info >= (3, 8) else 1)'
