#!/usr/bin/env bash
# Builds the programs of the scripts into target/review/. Each of them holds the
# stand-ins that its script needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/Case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -pthread -o "target/review/case-$number" "$source"
done
