#!/bin/bash
# The stand-ins are Python programs of the standard library: nothing but a syntax check is needed.
set -e
cd "$(dirname "$0")"
python3 - harness-2/harness.py ./[6-9]/case.py ./10/case.py <<'P'
import ast, pathlib, sys
for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        ast.parse(path.read_text(), name)
P
