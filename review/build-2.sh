#!/bin/sh
# Builds what the scripts of the second review start, beside the build of the deploy
# file. Their stand-ins are deployment.py and replica_process.py, which need no build:
# only checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
for name in ('deployment.py', 'replica_process.py'):
    ast.parse(open(name).read(), name)
PY
