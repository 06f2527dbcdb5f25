#!/usr/bin/env bash
# Compiles the stand-ins and scripts of the review, which need only Python's own library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]*/
