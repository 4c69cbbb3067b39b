#!/usr/bin/env bash
# The stand-ins of the cases are Python programs without dependencies, which need no build; this
# checks that they can be compiled. The program under test is built by the deploy file's command.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
