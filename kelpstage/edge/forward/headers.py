"""Names of the headers between clients, this edge and backends.

The product's own names are the defaults; settings may give others, so that a
deployment's wire can be spoken without a word of it in the product.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

from kelpstage.common.errors.validation import InvalidField, InvalidSettingsError


@dataclass(frozen=True, kw_only=True)
class HeaderNames:
    """One name for each thing that is said in a header.

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


def read_names(*, raw: dict[str, str]) -> HeaderNames | InvalidSettingsError:
    """Names from settings; one that is not known is an error.

    >>> read_names(raw={"seal": "Stamp"}).seal
    'Stamp'
    >>> read_names(raw={"sael": "Stamp"}).faults[0].path
    'header_names.sael'
    """
    known = {one.name for one in fields(HeaderNames)}
    faults = [
        InvalidField(path=f"header_names.{name}", why="no such header")
        for name in sorted(set(raw) - known)
    ]
    return InvalidSettingsError(faults=faults) if faults else HeaderNames(**raw)
