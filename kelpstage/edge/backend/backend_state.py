"""The state of a backend, as edges gossip it and operators see it."""

from __future__ import annotations

from enum import IntEnum


class BackendState(IntEnum):
    """The state of a backend; the numbers are sent in gossip and never change.

    Of two reports of the same version the one with the higher number takes precedence.
    `UNREACHABLE` and `INVALID_REPLIES` are never the state of an entry: they report what one
    edge has observed itself.
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
