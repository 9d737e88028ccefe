#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.  TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
python="$here/../../.venv/bin/python"
if ! test -x "$python"; then
    echo "the software is not built" >&2
    exit 2
fi
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/.." "$python" "$here/case.py" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    code=$?
done
case $code in
0) exit 0 ;;
3) exit 1 ;;
*) exit 2 ;;
esac
