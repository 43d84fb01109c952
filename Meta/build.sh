#!/usr/bin/env bash
# Builds into Build/Release, or with --test into Build/Test with the sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --test ]; then
    cmake -S . -B Build/Test -G Ninja -DSANITIZE=ON -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" >/dev/null
    cmake --build Build/Test
else
    cmake -S . -B Build/Release -G Ninja >/dev/null
    cmake --build Build/Release
fi
