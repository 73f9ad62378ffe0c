# Builds the program and its libraries into target/deps.
set -eu
deps=target/deps
mkdir -p target
# Libraries hold code for one kind of machine and one Python.
kind=$(python3 -c 'import sys, sysconfig; print(sysconfig.get_platform(), sys.version)')
if [ ! "$deps/.installed" -nt deploy/requirements.txt ] ||
    [ "$(cat "$deps/.installed")" != "$kind" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r deploy/requirements.txt
    printf '%s\n' "$kind" >"$deps/.installed"
fi
rm -rf "$deps/fireflyspur"
cp -R src/fireflyspur "$deps/fireflyspur"
# Compiled here, since a process can't write to the program's folder.
python3 -m compileall -q "$deps"
