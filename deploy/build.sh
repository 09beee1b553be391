#!/bin/sh
# Puts the libraries that pyproject.toml names under target/deps.
set -eu
if [ -e target/deps/.built ] && [ target/deps/.built -nt pyproject.toml ]; then
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
touch target/deps/.built
