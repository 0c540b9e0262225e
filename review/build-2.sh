#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
builds=()
for number in 6 8 9 10; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/standins-2 "review/$number/case.cc" \
    -o "target/review-2/case-$number" &
  builds+=("$!")
done
for build in "${builds[@]}"; do wait "$build"; done
