#!/usr/bin/env bash
# Builds the cases of review/6 to review/10, with all their stand-ins, into target/review-2. Run after the build of the
# deploy file; needs nothing beyond what that build needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/Case2.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I review/common-2 -o "target/review-2/case-$number" "$source" -lpthread
done
