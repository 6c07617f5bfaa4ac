# Installs the pinned libraries and the project's packages into target/deps.
set -eu
deps=target/deps
mkdir -p "$deps"
if [ ! -e target/installed ] || [ constraints.txt -nt target/installed ] || [ deploy/requirements.txt -nt target/installed ]; then
    python3 -m pip install --quiet --upgrade --target "$deps" \
        --constraint constraints.txt --requirement deploy/requirements.txt
    touch target/installed
fi
for source in packages/core/src packages/wire/src packages/daemon/src platform; do
    for package in "$source"/peridothatch_*; do
        rm -rf "$deps/$(basename "$package")"
        cp -r "$package" "$deps/"
    done
done
python3 -m compileall -q -j 0 "$deps"
