#!/bin/sh
# Prepares what the scripts of cases 6 to 10 need besides the build of the deploy file. Their stand-ins are Python
# programs (tests/standins/fleet/peers.py of the project, review/standins-2/deployment.py), which need no build:
# checks that they can be read.
set -e
cd "$(dirname "$0")/.."
for file in tests/standins/fleet/peers.py review/standins-2/deployment.py review/[6-9]/run.py review/10/run.py; do
  [ ! -e "$file" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
