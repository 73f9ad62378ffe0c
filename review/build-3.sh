#!/bin/sh
# Builds the stand-ins of review 3: compiles them, so that errors show here.
set -eu
cd "$(dirname "$0")"
for file in support-3/standins3/*.py 1[1-5]/play.py; do
    [ -e "$file" ] || continue
    python3 -c "compile(open('$file').read(), '$file', 'exec')"
done
