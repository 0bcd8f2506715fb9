#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/build, with the compiler and the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for main in ${1:-[0-9]*}/main.cpp; do
  case=$(dirname "$main")
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -Istandin -o "build/case$case" "$main"
done
