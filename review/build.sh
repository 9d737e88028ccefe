#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python programs that need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
