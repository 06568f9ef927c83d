#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python sources, so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import pathlib
for path in [*pathlib.Path("standins").glob("*.py"), *pathlib.Path(".").glob("*/case.py")]:
    compile(path.read_text("utf-8"), str(path), "exec")
P
