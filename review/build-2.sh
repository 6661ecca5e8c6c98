#!/bin/bash
# Builds the stand-ins of the second review's cases into build/review-2, with the compiler of the deploy build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for number in 6 7 8 9 10; do
  [ -e "review/$number/case.cpp" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/case-$number" "review/$number/case.cpp"
done
