#!/usr/bin/env bash
# Builds a commit of this history and the present tree, and plays an upgrade from one to the other and back: Meta/upgrade.sh COMMIT
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --verify "$1^{commit}")
programs=(mountbarrow-direct-entry mountbarrow-engine-agent)
build() {
    cmake -S "$1" -B "$2" -G Ninja -DBUILD_TESTS=OFF >/dev/null
    cmake --build "$2" --target "${programs[@]}" >/dev/null
}
tree="Build/Upgrade/$commit"
[ -d "$tree/source" ] || git worktree add --force "$tree/source" "$commit" >/dev/null 2>&1
trap 'git worktree remove --force "$tree/source"' EXIT
build "$tree/source" "$tree/build"
build . Build/Upgrade/present
shift
python3 Tests/Soak/upgrade.py "$tree/build" Build/Upgrade/present "$@"
