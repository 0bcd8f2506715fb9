#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 in build-review-2/, with the C++ compiler alone.
# usage: review/build-2.sh [N...]
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
[ $# -gt 0 ] || set -- 6 7 8 9 10
for number in "$@"; do
  [ -f "review/$number/standin.cpp" ] || continue
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread "review/$number/standin.cpp" -o "build-review-2/case-$number"
done
