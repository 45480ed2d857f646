#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python programs of the standard
# library, so it checks that they can be read and that the deployed program is there.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for file in review/lib-2/*.py review/[0-9]*/play.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x target/release/ebonygauge
