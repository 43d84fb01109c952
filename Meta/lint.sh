#!/usr/bin/env bash
# Checks the format of the project's own files and lints them. 
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cpp' '*.h' | grep -v 'LibSchema/Generated.h')
# clang cannot read the precompiled headers of g++, so the linter has compile commands of its own.
cmake -S . -B Build/Lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
clang-format --dry-run -Werror "${sources[@]}"
# websocketpp's own headers do not pass as C++20, and the file that includes them is all glue.
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$' | grep -v WebSocketCodec)
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p Build/Lint --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "lint: ${#sources[@]} files formatted, ${#units[@]} linted"
