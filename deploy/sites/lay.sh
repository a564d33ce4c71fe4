#!/usr/bin/env bash
# Lays what the bench wants beside a variant's file, from the operators' kit, for the time of a run; git ignores it.
#   deploy/sites/lay.sh [KIT]     from the repository's root; KIT defaults to ../given/kit
set -euo pipefail
cd "$(dirname "$0")"
kit=$(cd "${1:-../../../given/kit}" && pwd)
for folder in */; do
  for file in real.json wire.json unlock.txt; do
    [ -f "$kit/sites/$file" ] || { echo "lay.sh: $kit/sites has no $file: name the kit's folder" >&2; exit 1; }
    cp -f "$kit/sites/$file" "$folder$file"
    chmod u+w "$folder$file"
  done
done
