#!/usr/bin/env bash
# Installs what the build, the tests and the demo need, from Debian's packages. Does nothing where all is there.
set -euo pipefail
packages=(g++ cmake ninja-build clang-format clang-tidy python3 pkg-config libevent-dev libwebsocketpp-dev
    nlohmann-json3-dev libboost-dev libexpected-dev libtclap-dev liblog4cxx-dev librapidcheck-dev libgtest-dev
    libgmock-dev libssl-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
