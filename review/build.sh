#!/bin/sh
# Checks that the stand-ins compile; they are Python and need no build.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
'
