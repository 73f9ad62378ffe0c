# Builds the program and its libraries into target/deps.
set -eu
deps=target/deps
mkdir -p target
if [ ! "$deps/.installed" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -r deploy/requirements.txt
    touch "$deps/.installed"
fi
rm -rf "$deps/fireflyspur"
cp -R src/fireflyspur "$deps/fireflyspur"
# Compiled here, since a process can't write to the program's folder.
python3 -m compileall -q "$deps"
