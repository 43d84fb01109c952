#!/usr/bin/env bash
# Sets up, builds with the sanitizers and runs every test. Seeds are fixed.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
Meta/build.sh --test
ctest --test-dir Build/Test --output-on-failure
