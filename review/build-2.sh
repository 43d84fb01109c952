#!/bin/sh
# Builds what the scripts of the second review start besides the programs of the deploy file. The stand-ins are the project's own
# (Tests/Platform) and small ones beside the cases, all in Python without packages: they are compiled here so that a fault in one shows.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast, glob
files = glob.glob("review/common-2/*.py") + glob.glob("review/[4-8]/*.py")
files += ["Tests/Platform/fleet.py", "Tests/Platform/stand_ins.py", "Tests/Platform/staging.py", "Tests/Processes/cluster.py"]
for path in files:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print(f"{len(files)} stand-ins and scripts are sound")
PY
