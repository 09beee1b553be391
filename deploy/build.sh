#!/bin/sh
# Installs the dependencies of pyproject.toml into target/deps. Some of them are compiled, so
# they are reinstalled if they were built on another architecture or for another Python.
set -eu
kind="$(uname -m) $(python3 -c 'import sys; print(sys.implementation.cache_tag)')"
built=target/deps/.built
if [ "$(cat "$built" 2>/dev/null)" = "$kind" ] && [ "$built" -nt pyproject.toml ]; then
    exit 0
fi
rm -rf target/deps
mkdir -p target/deps
python3 - <<'PY' > target/requirements.txt
import tomllib
with open("pyproject.toml", "rb") as file:
    print("\n".join(tomllib.load(file)["project"]["dependencies"]))
PY
python3 -m pip install -q --disable-pip-version-check --target target/deps -r target/requirements.txt
echo "$kind" > "$built"
