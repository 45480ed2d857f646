#!/usr/bin/env bash
# Checks what the scripts start. The stand-ins are Python with its standard library
# only, so nothing has to be compiled; the daemon comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
test -x ../target/release/ebonygauge
python3 -B - lib/*.py [1-5]/*.py <<'PY'
import ast, sys

assert sys.version_info >= (3, 9), "Python 3.9 or later"
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)
PY
