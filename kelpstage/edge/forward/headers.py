"""Names of the headers between clients, this edge and backends.

Settings may override the default names, so that a deployment's own header names need not
appear in this code.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

from kelpstage.common.errors.validation import InvalidField, InvalidSettingsError


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """The name of each header that requests and replies use.

    >>> HeaderNames().seal
    'Kelp-Seal'
    """

    request_id: str = "Kelp-Request-Id"
    deadline_ms: str = "Kelp-Deadline-Ms"
    seal: str = "Kelp-Seal"
    part_seals: str = "Kelp-Part-Seals"
    missing_parts: str = "Kelp-Missing-Parts"
    expect_instance: str = "Kelp-Expect-Instance"
    instance: str = "Kelp-Instance"
    not_run: str = "Kelp-Not-Run"


def read_header_names(*, raw: dict[str, str]) -> HeaderNames | InvalidSettingsError:
    """Read header names from settings; an unknown key is an error.

    >>> read_header_names(raw={"seal": "Stamp"}).seal
    'Stamp'
    >>> read_header_names(raw={"sael": "Stamp"}).faults[0].path
    'header_names.sael'
    """
    known = {one.name for one in fields(HeaderNames)}
    faults = [
        InvalidField(path=f"header_names.{name}", why="no such header")
        for name in sorted(set(raw) - known)
    ]
    return InvalidSettingsError(faults=faults) if faults else HeaderNames(**raw)
