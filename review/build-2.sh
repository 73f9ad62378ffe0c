#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python files that use
# the standard library only, so that this checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in support-2/*.py 6/*.py 7/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
