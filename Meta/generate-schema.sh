#!/usr/bin/env bash
# Regenerates the committed C++ types from the JSON Schema files. The build never runs this.
set -euo pipefail
cd "$(dirname "$0")/.."
generator=${QUICKTYPE:-npx --yes quicktype@26}
schemas=(Libraries/LibSchema/Schema/*.json)
$generator -s schema "${schemas[@]}" --lang c++ --code-format with-struct --no-boost \
    --include-location global-include --namespace Schema --source-style single-source \
    --type-style pascal-case --member-style underscore-case --enumerator-style pascal-case \
    -o Libraries/LibSchema/Generated.h
