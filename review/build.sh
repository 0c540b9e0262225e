#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs into target/review/. Needs the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standins)
for name in Http Store Executor Fleet; do
  g++ "${flags[@]}" -c "review/standins/$name.cc" -o "target/review/$name.o" &
done
wait
for file in review/[0-9]*/case.cc; do
  [ -f "$file" ] || continue
  number=$(basename "$(dirname "$file")")
  g++ "${flags[@]}" "$file" target/review/{Http,Store,Executor,Fleet}.o -o "target/review/case-$number" &
done
wait
for file in review/[0-9]*/case.cc; do
  [ -f "$file" ] || continue
  [ -x "target/review/case-$(basename "$(dirname "$file")")" ] || exit 1
done
