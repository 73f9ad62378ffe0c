#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$folder/../support-3" PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH PYTHONDONTWRITEBYTECODE
exec python3 "$folder/play.py" "$folder"
