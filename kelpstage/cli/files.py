"""Files that commands read and write; each failure is a typed end."""

from __future__ import annotations

import pathlib

from kelpstage.cli.output import BAD_INPUT, REFUSED, fail
from kelpstage.common.configuration.types import Configuration
from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors.validation import InvalidConfigurationError, InvalidField


def read_file(*, path: str) -> bytes:
    """A file's bytes, or a typed end with exit code 2."""
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        fail(error=InvalidField(path=path, why=error.strerror or "unreadable"), code=BAD_INPUT)


def write_whole(*, path: str, data: bytes) -> None:
    """Write a file whole or not at all: beside, then renamed."""
    beside = pathlib.Path(f"{path}.new")
    try:
        beside.write_bytes(data)
        beside.replace(path)
    except OSError as error:
        fail(
            error=InvalidField(path=path, why=error.strerror or "can't be written"), code=BAD_INPUT
        )


def read_configuration_file(*, path: str, is_json: bool, code: int = REFUSED) -> Configuration:
    """A configuration from a file, or its faults and an end."""
    outcome = read_configuration(data=read_file(path=path), version=0)
    if isinstance(outcome, InvalidConfigurationError):
        fail(error=outcome, code=code, is_json=is_json)
    return outcome
