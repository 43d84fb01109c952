#!/usr/bin/env bash
# Sets up, builds and runs the demo: a burst rollout under load with a kill in the middle, on embedded defaults.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
Meta/build.sh
exec python3 Meta/demo.py "$@"
