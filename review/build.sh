#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs that use only the standard library (3.11 or later),
# so there is nothing to compile; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import ast, pathlib, sys, tomllib
assert sys.version_info >= (3, 11), sys.version
for source in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(source.read_text(), str(source))
    print("loadable:", source)
PYTHON
