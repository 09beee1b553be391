"""Limits the connections of this edge to one instance to its share of the maximum."""

from __future__ import annotations

from typing import Iterable, Mapping

from kelpstage.common.configuration.types import Configuration
from kelpstage.edge.backend.entry import BackendEntry

CONNECTION_SHARE_PERCENT = 80  # of max_connections, divided among the edges
EDGE_COUNT_WINDOW_US = 30_000_000  # connections of a departed edge may persist for this long


def connection_limit(*, max_connections: int, live_edges: int) -> int:
    """Return how many connections one edge may have to one backend.

    That is the edge's share of 80 %, at least 1; the rest is a margin for connections that
    are being opened or closed or whose share is changing. 0 means unlimited.

    >>> connection_limit(max_connections=88, live_edges=12)
    5
    >>> connection_limit(max_connections=10, live_edges=90)
    1
    >>> connection_limit(max_connections=0, live_edges=9)
    0
    """
    if max_connections <= 0:
        return 0
    return max(1, max_connections * CONNECTION_SHARE_PERCENT // 100 // max(1, live_edges))


class ConnectionLimits:
    """Holds the configured maximum of each service and the number of edges that share it.

    >>> limits = ConnectionLimits()
    >>> limits.set_live_edges(count=9, now_us=0), limits.set_live_edges(count=8, now_us=1)
    (True, False)
    >>> limits.live_edges
    9
    """

    def __init__(self) -> None:
        self.live_edges = 1
        self._max_connections: dict[str, int] = {}
        self._edge_counts: list[tuple[int, int]] = []  # (time, count), newest last

    def configure(self, *, configuration: Configuration) -> None:
        """Take the maximum of each service from a configuration."""
        self._max_connections = {
            name: service.max_connections
            for name, service in getattr(configuration, "services", {}).items()
        }

    def set_live_edges(self, *, count: int, now_us: int) -> bool:
        """Record the number of live edges; true if `live_edges` has changed.

        `live_edges` is the highest count of the last `EDGE_COUNT_WINDOW_US`, since the
        connections of an edge may outlast it.
        """
        counts = self._edge_counts
        recent = [
            (at_us, known)
            for at_us, known in counts
            if now_us - at_us < EDGE_COUNT_WINDOW_US and known > count
        ]
        if not counts or counts[-1][1] != count or len(recent) != len(counts):
            self._edge_counts = recent + [(now_us, count)]
        else:
            counts[-1] = (now_us, count)
        highest = max(known for _, known in self._edge_counts)
        has_changed = highest != self.live_edges
        self.live_edges = highest
        return has_changed

    def apply(
        self, *, instances: Mapping[str, Iterable[str]], entries: Mapping[str, BackendEntry]
    ) -> None:
        """Set the connection limit of each instance; `instances` holds their ids by service."""
        for service, names in instances.items():
            limit = connection_limit(
                max_connections=self._max_connections.get(service, 0),
                live_edges=self.live_edges,
            )
            for name in names:
                entries[name].connection_limit = limit
