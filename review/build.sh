#!/bin/sh
# Builds the stand-in of the review's cases, after the build of the deploy file; from the repository's root or
# anywhere else. It links the project's own map and JSON readers.
set -e
cd "$(dirname "$0")/.."
mkdir -p build/review
g++ -std=c++20 -O1 -Wall -Wextra -I src review/tools/stand_in.cpp \
    build/src/placement/libpinedoor_placement.a build/src/parse/libpinedoor_parse.a \
    -o build/review/stand_in
