#!/bin/sh
# The stand-ins of review/6 to review/10 are Python programs: review/lab2.py, the run.py
# of each case, and the store and the HTTP helpers of platform/soak. There is nothing to
# compile; this checks that the installed Python reads them.
set -eu
cd "$(dirname "$0")/.."
for file in review/lab2.py review/6/run.py review/7/run.py review/8/run.py \
    review/9/run.py review/10/run.py platform/soak/store.py platform/soak/http11.py \
    platform/soak/ports.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
