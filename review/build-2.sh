#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. Needs the compiler and the Boost headers that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p build
for source in *.cpp; do
    program=build/${source%.cpp}
    if [ ! -x "$program" ] || [ "$source" -nt "$program" ] || [ platform.h -nt "$program" ]; then
        g++ -std=c++20 -O1 -Wall -o "$program" "$source" -lpthread
    fi
done
