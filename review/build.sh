#!/bin/sh
# The stand-ins are Python programs: review/lab.py, the run.py of each case and the
# soak test's platform/soak/*.py. There is nothing to compile; this checks that they
# can be read by the Python that is installed.
set -eu
cd "$(dirname "$0")/.."
for file in review/lab.py review/*/run.py platform/soak/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
