"""Reads and writes files of commands; a failure prints an error and exits."""

from __future__ import annotations

import pathlib

from kelpstage.cli.output import BAD_INPUT, REJECTED, fail
from kelpstage.common.configuration.types import Configuration
from kelpstage.common.configuration.validation import read_configuration
from kelpstage.common.errors.validation import InvalidConfigurationError, InvalidField


def read_file(*, path: str) -> bytes:
    """Returns the bytes of a file, or exits with code 2."""
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        fail(error=InvalidField(path=path, why=error.strerror or "unreadable"), code=BAD_INPUT)


def write_file_atomically(*, path: str, data: bytes) -> None:
    """Writes a file atomically: writes a temporary file beside it and renames that."""
    temporary = pathlib.Path(f"{path}.new")
    try:
        temporary.write_bytes(data)
        temporary.replace(path)
    except OSError as error:
        fail(
            error=InvalidField(path=path, why=error.strerror or "can't be written"), code=BAD_INPUT
        )


def read_configuration_file(*, path: str, is_json: bool, code: int = REJECTED) -> Configuration:
    """Returns the configuration in a file, or prints its errors and exits with `code`."""
    outcome = read_configuration(data=read_file(path=path), version=0)
    if isinstance(outcome, InvalidConfigurationError):
        fail(error=outcome, code=code, is_json=is_json)
    return outcome
