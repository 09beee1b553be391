"""How many connections this edge may have to one instance: its share of the maximum."""

from __future__ import annotations

from typing import Iterable, Mapping

from kelpstage.common.configuration.types import Configuration
from kelpstage.edge.backend.entry import BackendEntry

CONNECTION_SHARE_PERCENT = 80  # of a service's connections that the edges share
EDGE_COUNT_WINDOW_US = 30_000_000  # connections of an edge that left may last for so long


def connection_limit(*, max_connections: int, live_edges: int) -> int:
    """How many connections one edge may have to one backend: its share, with a margin
    for those that are just being opened, closed or counted out; at least one.

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
    """Owns the configured maxima by service and the number of edges that share them.

    >>> limits = ConnectionLimits()
    >>> limits.set_live_edges(count=9, now_us=0), limits.set_live_edges(count=8, now_us=1)
    (True, False)
    >>> limits.live_edges
    9
    """

    def __init__(self) -> None:
        self.live_edges = 1
        self._max_connections: dict[str, int] = {}
        self._edge_counts: list[tuple[int, int]] = []  # (time, count), the newest last

    def configure(self, *, configuration: Configuration) -> None:
        """Follow the services of a configuration."""
        self._max_connections = {
            name: service.max_connections
            for name, service in getattr(configuration, "services", {}).items()
        }

    def set_live_edges(self, *, count: int, now_us: int) -> bool:
        """Note how many edges live now; true if the number that counts has changed.

        The highest of the last half minute counts, since the connections of an edge may
        outlast it.
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
        """Set the limit of every discovered instance, given by service."""
        for service, names in instances.items():
            limit = connection_limit(
                max_connections=self._max_connections.get(service, 0),
                live_edges=self.live_edges,
            )
            for name in names:
                entries[name].connection_limit = limit
