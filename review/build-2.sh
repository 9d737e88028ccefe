#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file: Python without dependencies, so it only
# checks that they compile and that the software is there.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=build/native:. .venv/bin/python -P -c 'import sidecar.sidecar'
for file in review/standins2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo built
