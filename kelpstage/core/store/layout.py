"""Names of the files in a core's data folder.

The names of log segments, snapshots and the synced mark contain the name of the replica
that wrote them. The file `identity` alone states which replica owns the folder, so replacing
or deleting that one file atomically decides which of the other files are valid.
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
_FILE_NAME = re.compile(r"(?P<replica>.+)-(?P<number>\d+)\.(?P<kind>seg|snap)")


@dataclass(frozen=True, kw_only=True)
class FileName:
    """The parsed name of a segment or a snapshot.

    `number` is the segment's position in the log, or the last index that the snapshot covers.
    """

    replica: str
    number: int
    is_segment: bool


def segment_path(*, replica: str, number: int) -> str:
    """The path of a segment; segments are numbered consecutively.

    >>> segment_path(replica="a", number=3)
    'log/a-00000003.seg'
    """
    return f"{LOG_FOLDER}/{replica}-{number:08d}.seg"


def snapshot_path(*, replica: str, index: int) -> str:
    """The path of the snapshot that covers the log up to an index.

    >>> snapshot_path(replica="a", index=7)
    'snapshots/a-00000000000000000007.snap'
    """
    return f"{SNAPSHOT_FOLDER}/{replica}-{index:020d}.snap"


def mark_path(*, replica: str) -> str:
    """The path of a replica's synced mark.

    >>> mark_path(replica="a")
    'log/a.synced'
    """
    return f"{LOG_FOLDER}/{replica}{MARK_SUFFIX}"


def parse_file_name(*, name: str) -> FileName | None:
    """Parse the name of a segment or snapshot, without its folder; `None` for other files.

    >>> parse_file_name(name="a-00000003.seg")
    FileName(replica='a', number=3, is_segment=True)
    >>> parse_file_name(name="a.synced") is None
    True
    """
    found = _FILE_NAME.fullmatch(name)
    if found is None:
        return None
    return FileName(
        replica=found["replica"],
        number=int(found["number"]),
        is_segment=found["kind"] == "seg",
    )


def owner_of(*, name: str) -> str | None:
    """The replica that owns a segment, snapshot or mark; `None` for files of other kinds.

    >>> owner_of(name="a-00000003.seg"), owner_of(name="a.synced"), owner_of(name="notes")
    ('a', 'a', None)
    """
    parts = parse_file_name(name=name)
    if parts is not None:
        return parts.replica
    return name.removesuffix(MARK_SUFFIX) if name.endswith(MARK_SUFFIX) else None
