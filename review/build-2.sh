#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs without dependencies, which need no build;
# this checks that they can be compiled. The program under test is built by the deploy file's command.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import pathlib

for folder in ("lib-2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
