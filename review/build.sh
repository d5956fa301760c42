#!/bin/sh
# Builds the stand-ins of the cases. They need Python's standard library only, so this just compiles them.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in sorted(glob.glob("common/*.py") + glob.glob("[1-5]/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print(path, "compiles")
CHECK
