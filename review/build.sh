#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs of the standard library, so their syntax is checked only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - << 'PYTHON'
import ast
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
echo "stand-ins are ready"
