"""The numbered failpoints of the daemons' code.

For each failpoint a test kills a process at that place (a core also loses power, so that
unsynced writes are at risk) and then applies every checker to the history of the run.
"""

from __future__ import annotations

FAILPOINTS: dict[int, str] = {
    1: "file.before_step",
    2: "file.after_rename_sync",
    3: "log.before_append",
    4: "log.before_sync",
    5: "log.after_sync",
    6: "snapshot.before_write",
    7: "snapshot.after_write",
    8: "snapshot.before_drop",
    9: "raft.before_send",
    10: "core.before_propose",
    11: "core.before_announce",
    12: "core.before_lease",
    13: "core.before_put_result",
    14: "edge.before_renew",
    15: "edge.before_install",
    16: "edge.after_install",
    17: "edge.before_kid_send",
    18: "edge.before_backend_send",
    19: "edge.after_backend_reply",
    20: "edge.before_verdict",
}


def is_core_failpoint(*, name: str) -> bool:
    """True if the failpoint is in the core's code, False if it is in the edge's.

    >>> is_core_failpoint(name="log.before_sync"), is_core_failpoint(name="edge.before_renew")
    (True, False)
    """
    return not name.startswith("edge.")
