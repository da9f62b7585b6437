#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, which are plain Python.
cd "$(dirname "$0")" || exit 1
python3 -c '
import ast
import glob

for path in glob.glob("fleet3/*.py") + glob.glob("1[1-5]/*.py"):
    with open(path) as file:
        ast.parse(file.read(), path)
'
