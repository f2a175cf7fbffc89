#!/bin/sh
# Builds the stand-ins that the scripts start. They need only Python 3.11 and its standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]*/case.py
