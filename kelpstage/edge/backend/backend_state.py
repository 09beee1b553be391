"""The state of a backend, as it is shared between edges and shown to operators."""

from __future__ import annotations

from enum import IntEnum


class BackendState(IntEnum):
    """What is known of a backend; the numbers travel in gossip and never change.

    Of two reports of the same version the higher number is taken over. `UNREACHABLE`
    and `INVALID_REPLIES` are never the state of an entry: they are reports of one
    observer about what it met itself.
    """

    UP = 0
    UNREACHABLE = 1
    DRAINING = 2
    GONE = 3
    INVALID_REPLIES = 4


# The public names of the states, in status views and events; they never change.
STATE_NAMES: dict[int, str] = {
    BackendState.UP: "up",
    BackendState.UNREACHABLE: "dark",
    BackendState.DRAINING: "draining",
    BackendState.GONE: "gone",
    BackendState.INVALID_REPLIES: "lying",
}
