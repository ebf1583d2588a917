#!/bin/bash
# Builds the stand-ins of the second review into review/tools-2/bin, from the libraries of the deploy file's build.
# To be run from the repository's root, after that build.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/tools-2/bin
FLAGS="-std=c++20 -O1 -Wall -Wextra -Isrc -Ireview/tools-2"
LIBS="build/src/placement/libpinedoor_placement.a build/src/parse/libpinedoor_parse.a"
for tool in ports2 disc2 box2 client2; do
    ${CXX:-c++} $FLAGS "review/tools-2/$tool.cpp" -o "review/tools-2/bin/$tool.new" $LIBS -pthread
    mv "review/tools-2/bin/$tool.new" "review/tools-2/bin/$tool"
done
