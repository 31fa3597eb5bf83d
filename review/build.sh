#!/bin/sh
# Builds the stand-ins of the scripts: review/standins and the project's tests/standins/fleet. They are
# Python programs without dependencies, so that this only checks that they can be compiled.
set -e
cd "$(dirname "$0")/.."
exec python3 -B - review/standins/*.py review/*/run.py tests/standins/fleet/*.py <<'PYTHON'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
print("%d files compiled" % len(sys.argv[1:]))
PYTHON
