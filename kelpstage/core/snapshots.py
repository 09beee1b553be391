"""When a replica takes a snapshot, and how it fetches one from its leader.

Invariants: one fetch at a time, and after a failure none before a pause; a snapshot under
transfer holds back the next one for a bounded time and a bounded length of the log, so
that the entries behind it are still in the log when it has arrived.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Awaitable, Callable

from kelpstage.common.event_journal import Journal
from kelpstage.common.ports.interfaces import Clock
from kelpstage.common.transport.chunks import backoff_us, fetch_chunks
from kelpstage.common.transport.connections import Transport
from kelpstage.common.transport.delta import apply_delta
from kelpstage.common.transport.messages import FetchSnapshot
from kelpstage.core.events import SnapshotFetchFailed
from kelpstage.core.raft.types import FetchOffered
from kelpstage.core.store.records import DiskSnapshot

SNAPSHOT_ENTRIES = 400
SNAPSHOT_BYTES = 1024 * 1024  # of the log, or more where a snapshot is large itself:
SNAPSHOT_FACTOR = 2  # so many times the bytes of the last one
HELD_BACK_FACTOR = 4  # how much longer the log may grow while a member fetches a snapshot
HELD_BACK_LONGEST_US = 60_000_000


@dataclass(frozen=True, kw_only=True)
class LogSize:
    """What the log holds behind the last snapshot, as far as it is applied."""

    entries: int
    data_bytes: int
    snapshot_bytes: int  # of the last snapshot, compressed


class SnapshotPolicy:
    """Decides when the next snapshot is due, from the length of the log.

    >>> policy = SnapshotPolicy()
    >>> size = LogSize(entries=SNAPSHOT_ENTRIES, data_bytes=0, snapshot_bytes=0)
    >>> policy.is_due(size=size, is_in_transfer=False, now_us=1)
    True
    >>> policy.is_due(size=size, is_in_transfer=True, now_us=1)
    False
    >>> policy.is_due(size=size, is_in_transfer=True, now_us=2 + HELD_BACK_LONGEST_US)
    True
    """

    def __init__(self) -> None:
        self._held_back_since_us: int | None = None

    def is_due(self, *, size: LogSize, is_in_transfer: bool, now_us: int) -> bool:
        """Has the log grown long, in entries or in bytes? Longer, while a member fetches."""
        is_held_back = self._is_held_back(is_in_transfer=is_in_transfer, now_us=now_us)
        factor = HELD_BACK_FACTOR if is_held_back else 1
        most_bytes = max(SNAPSHOT_BYTES, SNAPSHOT_FACTOR * size.snapshot_bytes)
        is_long = size.entries >= SNAPSHOT_ENTRIES * factor
        is_large = size.data_bytes >= most_bytes * factor and size.entries > 1
        return is_long or is_large

    def _is_held_back(self, *, is_in_transfer: bool, now_us: int) -> bool:
        if not is_in_transfer:
            self._held_back_since_us = None
            return False
        if self._held_back_since_us is None:
            self._held_back_since_us = now_us
        return now_us - self._held_back_since_us < HELD_BACK_LONGEST_US


class SnapshotFetcher:
    """Fetches the snapshot that a leader offers."""

    def __init__(
        self,
        *,
        transport: Transport,
        clock: Clock,
        journal: Journal,
        cluster: str,
        spawn: Callable[[Awaitable[None]], Any],
        on_fetched: Callable[[FetchOffered, DiskSnapshot], None],
    ) -> None:
        self._transport = transport
        self._clock = clock
        self._journal = journal
        self._cluster = cluster
        self._spawn = spawn
        self._on_fetched = on_fetched
        self._newest_offer: FetchOffered | None = None
        self._is_fetching = False
        self._failures = 0
        self._not_before_us = 0

    def offered(self, *, offer: FetchOffered) -> None:
        """Begin a fetch, unless one is under way; the leader offers with each heartbeat."""
        self._newest_offer = offer
        if self._is_fetching or self._clock.now_us() < self._not_before_us:
            return
        self._is_fetching = True
        self._spawn(self._fetch(offer=offer))

    async def _fetch(self, *, offer: FetchOffered) -> None:
        packed = await fetch_chunks(
            transport=self._transport,
            clock=self._clock,
            address=offer.leader_address,
            ask=lambda pinned, offset: FetchSnapshot(
                cluster=self._cluster, index=offer.index, offset=offset, pinned=pinned
            ),
            is_wanted=lambda: self._is_from(address=offer.leader_address),
        )
        self._is_fetching = False
        data = None if packed is None else apply_delta(base=b"", delta=packed)
        if data is None:
            self._failed(offer=offer)
            return
        self._failures = 0
        snapshot = DiskSnapshot().parse(data)
        if snapshot.cluster == self._cluster:
            self._on_fetched(offer, snapshot)

    def _is_from(self, *, address: str) -> bool:
        """Is it still this leader that offers a snapshot?"""
        return self._newest_offer is not None and self._newest_offer.leader_address == address

    def _failed(self, *, offer: FetchOffered) -> None:
        self._failures += 1
        wait_us = backoff_us(failures=self._failures)
        self._not_before_us = self._clock.now_us() + wait_us
        self._journal.add(SnapshotFetchFailed(index=offer.index, again_after_us=wait_us))
