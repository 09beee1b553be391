"""Names of the files in a core's data folder.

Log segments, snapshots and the synced mark carry the name of the replica that wrote
them. Which replica a folder belongs to is said by `identity` alone, so replacing or
removing that one file decides at once which of the others count.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

ROOT = ""
LOG_FOLDER = "log"
SNAPSHOT_FOLDER = "snapshots"
IDENTITY_PATH = "identity"
UNFINISHED_SUFFIX = ".new"
MARK_SUFFIX = ".synced"
_NAME = re.compile(r"(?P<replica>.+)-(?P<number>\d+)\.(?P<kind>seg|snap)")


@dataclass(frozen=True, kw_only=True)
class FileName:
    """The parts of a segment's or a snapshot's name.

    `number` is the segment's place in the log, or the index that the snapshot covers.
    """

    replica: str
    number: int
    is_segment: bool


def segment_path(*, replica: str, number: int) -> str:
    """Where a segment is; numbers go up by one.

    >>> segment_path(replica="a", number=3)
    'log/a-00000003.seg'
    """
    return f"{LOG_FOLDER}/{replica}-{number:08d}.seg"


def snapshot_path(*, replica: str, index: int) -> str:
    """Where the snapshot up to an index is.

    >>> snapshot_path(replica="a", index=7)
    'snapshots/a-00000000000000000007.snap'
    """
    return f"{SNAPSHOT_FOLDER}/{replica}-{index:020d}.snap"


def mark_path(*, replica: str) -> str:
    """Where the synced mark is.

    >>> mark_path(replica="a")
    'log/a.synced'
    """
    return f"{LOG_FOLDER}/{replica}{MARK_SUFFIX}"


def parse_name(*, name: str) -> FileName | None:
    """The parts of a name without its folder; `None` for other files.

    >>> parse_name(name="a-00000003.seg")
    FileName(replica='a', number=3, is_segment=True)
    >>> parse_name(name="a.synced") is None
    True
    """
    found = _NAME.fullmatch(name)
    if found is None:
        return None
    return FileName(
        replica=found["replica"],
        number=int(found["number"]),
        is_segment=found["kind"] == "seg",
    )


def owner_of(*, name: str) -> str | None:
    """Whose segment, snapshot or mark this is; `None` for files of other kinds.

    >>> owner_of(name="a-00000003.seg"), owner_of(name="a.synced"), owner_of(name="notes")
    ('a', 'a', None)
    """
    parts = parse_name(name=name)
    if parts is not None:
        return parts.replica
    return name.removesuffix(MARK_SUFFIX) if name.endswith(MARK_SUFFIX) else None
