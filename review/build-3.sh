#!/usr/bin/env bash
# The stand-ins of this review are Python programs without dependencies: nothing to compile, only a check that they
# parse. wigeon-node itself comes from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins_3/*.py support-3/*.py 1[1-5]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
