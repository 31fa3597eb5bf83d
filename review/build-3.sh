#!/usr/bin/env bash
# Prepares the stand-ins of cases 11 to 15. They are Python programs, the project's own
# (tests/standins/fleet/peers.py) included, so that nothing has to be compiled: this checks that the
# interpreter is there and that it can read them.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for file in tests/standins/fleet/peers.py review/standins-3/*.py review/1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
