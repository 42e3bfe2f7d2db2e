#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into build-review-2/ at the root. Needs a C++20 compiler alone.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
out=$here/../build-review-2
mkdir -p "$out"
for source in "$here"/lib2/*.cpp; do
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -o "$out/$(basename "$source" .cpp)" "$source"
done
